package leave

import (
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

func TestAdmit(t *testing.T) {
	const lameDuckEnd, end = 2600, 7000
	tests := map[string]struct {
		leaving       bool
		now, deadline mn.Millis
		// want is the deadline to keep, 0 if the request is refused.
		want mn.Millis
	}{
		"not leaving":                              {false, 6900, 11_900, 11_900},
		"ends in time":                             {true, 100, 5100, 5100},
		"while connections come":                   {true, 2599, 7599, 7000},
		"long one while connections come":          {true, 0, 30_000, 7000},
		"late, in time":                            {true, 4000, 7000, 7000},
		"late, not in time":                        {true, 4000, 7001, 0},
		"as the last connection comes":             {true, 2600, 7600, 0},
		"at the end":                               {true, 7000, 7001, 0},
		"after the end":                            {true, 7500, 8500, 0},
		"late one whose time is as good as over":   {true, 6990, 7000, 7000},
		"late one whose deadline has passed":       {true, 6990, 6000, 6000},
		"short one after new connections have end": {true, 5000, 6000, 6000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := New()
			if tt.leaving {
				d.Begin(lameDuckEnd, end)
			}
			require.Equal(t, tt.leaving, d.Leaving())
			got, err := d.Admit(tt.now, tt.deadline)
			if tt.want == 0 {
				require.NotNil(t, err)
				require.Equal(t, mn.OutcomeNotRun, err.Outcome)
				require.Equal(t, RetryAfter, err.RetryAfter)
				return
			}
			require.Nil(t, err)
			require.Equal(t, tt.want, got)
		})
	}
}

func TestEndEndsRequests(t *testing.T) {
	d := New()
	require.NoError(t, d.Ended().Err())
	d.Begin(0, 0)
	require.NoError(t, d.Ended().Err())
	d.End()
	require.Error(t, d.Ended().Err())
}
