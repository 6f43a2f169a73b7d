package resume

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAdvance(t *testing.T) {
	cases := map[string]struct {
		// after is the id that the caller sent, and runs the ids of the events of each run.
		after string
		runs  [][]string
		// ok is the number of events that follow, of all runs.
		ok int
	}{
		"one run":                               {"", [][]string{{"1", "2", "3"}}, 3},
		"goes on":                               {"", [][]string{{"1", "2"}, {"3", "4"}}, 4},
		"goes on twice":                         {"", [][]string{{"1"}, {"2"}, {"3"}}, 3},
		"starts again":                          {"", [][]string{{"1", "2"}, {"1", "2"}}, 2},
		"repeats the last":                      {"", [][]string{{"1", "2"}, {"2", "3"}}, 2},
		"leaves out one":                        {"", [][]string{{"1", "2"}, {"4"}}, 2},
		"next run has no ids":                   {"", [][]string{{"1"}, {""}}, 1},
		"next run has other ids":                {"", [][]string{{"1"}, {"x"}}, 1},
		"first run ended before its first":      {"", [][]string{{}, {"1", "2"}}, 2},
		"repeated within a run":                 {"", [][]string{{"1", "1"}}, 1},
		"backwards within a run":                {"", [][]string{{"3", "2"}}, 1},
		"steps within a run":                    {"", [][]string{{"10", "20", "30"}, {"40"}}, 4},
		"steps, next run repeats":               {"", [][]string{{"10", "20"}, {"15"}}, 2},
		"ids that are no numbers":               {"", [][]string{{"a", "b"}, {"c"}}, 3},
		"ids that are no numbers, repeated":     {"", [][]string{{"a", "b"}, {"b"}}, 2},
		"without ids":                           {"", [][]string{{"", "", ""}}, 3},
		"the caller resumes":                    {"7", [][]string{{"8", "9"}}, 2},
		"the caller resumes, from the start":    {"7", [][]string{{"1"}}, 0},
		"the caller resumes, without ids":       {"7", [][]string{{""}}, 0},
		"the caller resumes, and then the next": {"7", [][]string{{"8"}, {"9"}}, 2},
		"numbers that overflow":                 {"", [][]string{{"9223372036854775807"}, {"9223372036854775808"}}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := After(tc.after)
			passed, last, failed := 0, tc.after, false
			for _, run := range tc.runs {
				require.Equal(t, last, p.NextRun())
				for _, id := range run {
					if failed = p.Advance(id) != nil; failed {
						break
					}
					passed++
					if id != "" {
						last = id
					}
				}
			}
			require.Equal(t, tc.ok, passed)
			total := 0
			for _, run := range tc.runs {
				total += len(run)
			}
			require.Equal(t, passed < total, failed)
		})
	}
}

func TestPositionWithoutIDCannotBeResumed(t *testing.T) {
	p := After("")
	require.True(t, p.Resumable(), "the caller has nothing yet")
	require.NoError(t, p.Advance("1"))
	require.True(t, p.Resumable())
	require.NoError(t, p.Advance(""))
	require.False(t, p.Resumable(), "the next run would repeat the last event")
	require.NoError(t, p.Advance("2"))
	require.True(t, p.Resumable())
}
