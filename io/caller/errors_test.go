package caller

import (
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
)

func TestErrorsCrossConnectUnchanged(t *testing.T) {
	for _, d := range mn.Codes() {
		in := mn.Errorf(d.Code, "detail").WithRetryAfter(70 * mn.Millisecond)
		out := mn.AsError(FromConnect(ToConnect(in)))
		require.Equal(t, in.Code, out.Code)
		require.Equal(t, in.Outcome, out.Outcome)
		require.Equal(t, in.RetryAfter, out.RetryAfter)
	}
}

// A call to an entry that has left fails before a connection is made, so its outcome
// must be "not run" and not "unknown", as was once reported for a booking.
func TestCallWithoutConnectionIsNotRun(t *testing.T) {
	_, err := NewClient("http://127.0.0.1:1", "key").Call(t.Context(), &apipb.CallRequest{Pool: "orderbalie"})
	require.Equal(t, mn.NoEndpoint, mn.CodeOf(err), "%v", err)
	require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
}
