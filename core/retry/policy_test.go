package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/retry"
)

func TestRetryable(t *testing.T) {
	tests := []struct {
		err  *mn.Error
		want bool
	}{
		{mn.Errorf(mn.NoEndpoint, "x"), true},
		{mn.Errorf(mn.RateExceeded, "x"), false},
		{mn.Errorf(mn.BadRequest, "x"), false},
		{mn.Errorf(mn.Cancelled, "by the caller"), false},
		// A booking was rejected without a retry because an earlier attempt with
		// its key had left the queue of a paused agent.
		{mn.Errorf(mn.Cancelled, "while queued").WithOutcome(mn.OutcomeNotRun), true},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, retry.Retryable(tt.err), tt.err)
	}
}
