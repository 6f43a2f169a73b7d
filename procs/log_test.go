package procs_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardnotch/gen/apipb"
	"mustardnotch/procs"
)

// TestFailedRequestsAreLoggedAndCounted checks the log line and the counter of a
// failed request, and that the entry's log doesn't contain the caller's key.
func TestFailedRequestsAreLoggedAndCounted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0, 0)
	entry := c.Nodes["entry-1"]
	_, err := c.CallerClient(entry, voeringKey).Call(t.Context(), &apipb.CallRequest{Pool: "nowhere"})
	require.Error(t, err)
	line := entry.Proc.Tail(4000)
	require.Contains(t, line, "code=MN104 customer=voering event=call_failed outcome=\"not run\"")
	require.NotContains(t, line, voeringKey)
	var vars struct {
		Requests map[string]int64 `json:"requests"`
	}
	require.NoError(t, procs.FetchJSON(entry.DebugURL()+"/debug/vars", &vars))
	require.EqualValues(t, 1, vars.Requests["MN104"])
}
