package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

func one() int { return 1 }

// Twenty fronts serve a pool with hardly any traffic. Together they must not retry more
// than the slack.
func TestFrontsShareTheSlack(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	sent := 0
	for range 20 {
		p := NewPoolBudgets(PoolBudgetsConfig{Slack: 60, Window: 10 * mn.Second, Fronts: func() int { return 20 }}, clock)
		for range 50 {
			if p.Withdraw("pool") {
				sent++
			}
		}
	}
	require.Equal(t, 60, sent)
}

func TestEarlierRequestsPayForRetriesAfterCrash(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	p := NewPoolBudgets(PoolBudgetsConfig{Ratio: 0.1, Slack: 5, Window: 10 * mn.Second, Fronts: one}, clock)
	// Fifty requests a second for ten seconds, then forty streams break at once.
	for range 500 {
		p.Deposit("model")
		clock.Advance(20)
	}
	sent := 0
	for range 40 {
		if p.Withdraw("model") {
			sent++
		}
	}
	require.Equal(t, 40, sent)
	require.True(t, p.Withdraw("plain"), "each pool has its own slack")
}

// Checks the platform's bound over any sliding window against a list of all attempts,
// under any interleaving of attempts and time steps.
func TestRetriesStayWithinAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := mn.NewManualClock(1_000_000)
		c := PoolBudgetsConfig{Ratio: 0.1, Slack: 5, Window: 10 * mn.Second, Fronts: one}
		p := NewPoolBudgets(c, clock)
		var first, retries []mn.Millis
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				p.Deposit("pool")
				first = append(first, clock.Now())
			case 1:
				if p.Withdraw("pool") {
					retries = append(retries, clock.Now())
				}
			case 2:
				clock.Advance(mn.Millis(rapid.IntRange(0, 3000).Draw(t, "gap")))
			}
		}
		for _, end := range retries {
			count := func(at []mn.Millis, duration mn.Millis) (n float64) {
				for _, a := range at {
					if a > end-duration && a <= end {
						n++
					}
				}
				return n
			}
			// The platform counts the requests of this window or of the one that
			// ends half a window earlier. The budget may also count part of one
			// bucket more than a window.
			requests := count(first, c.Window+c.Window/2)
			require.LessOrEqual(t, count(retries, c.Window-c.Window/windowBuckets), c.Ratio*requests+c.Slack)
		}
	})
}
