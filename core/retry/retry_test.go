package retry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/retry"
)

func Example() {
	budget := retry.New(retry.Config{Ratio: 0.5, Reserve: 1}, mn.NewManualClock(0))
	fmt.Println(budget.Withdraw(), budget.Withdraw())
	budget.Deposit()
	budget.Deposit()
	fmt.Println(budget.Withdraw())
	// Output:
	// true false
	// true
}

// If every request fails, retries must stay near the ratio. Retrying each request three
// times would quadruple the load.
func TestBudgetBoundsRetries(t *testing.T) {
	clock := mn.NewManualClock(0)
	budget := retry.New(retry.DefaultConfig(), clock)
	retries := 0
	for range 10000 {
		budget.Deposit()
		clock.Advance(mn.Millisecond)
		for range 3 {
			if budget.Withdraw() {
				retries++
			}
		}
	}
	require.InDelta(t, 1000+50+10, retries, 5)
	require.EqualValues(t, 30000-retries, budget.Rejected())
}

func TestBackoff(t *testing.T) {
	b := retry.Backoff{Initial: 10, Max: 100}
	err := mn.Errorf(mn.NoEndpoint, "x")
	for _, want := range []mn.Millis{10, 20, 40, 80, 100, 100} {
		require.Equal(t, want, b.Next(err))
	}
	b = retry.Backoff{Initial: 10, Max: 100}
	require.EqualValues(t, 50, b.Next(err.WithRetryAfter(50)))
	require.EqualValues(t, 100, b.Next(err.WithRetryAfter(5000)))
}
