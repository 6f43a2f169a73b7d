package sched

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

// granted returns the waiters in ws whose job is running.
func granted(ws []*waiter) []*waiter {
	var out []*waiter
	for _, w := range ws {
		if w.grant != nil && !w.grant.ended {
			out = append(out, w)
		}
	}
	return out
}

// TestFairnessBound floods the queue from one customer and compares the service of
// customers that have jobs queued with the bound of deficit round robin. FIFO
// order over the same jobs exceeds the bound.
func TestFairnessBound(t *testing.T) {
	const largest = 900
	limits := Limits{Running: 1, QueuedPerCustomer: 10000, Queued: 10000, Quantum: 256, OutputCost: 4}
	weights := map[mn.CustomerID]float64{"flood": 1, "large": 2, "small": 1}
	sends := map[mn.CustomerID]int{"flood": 2000, "large": 400, "small": 400}
	random := rand.New(rand.NewPCG(1, 2))
	q := New(mn.NewManualClock(1), limits)
	var waiters []*waiter
	for _, c := range []mn.CustomerID{"flood", "large", "small"} {
		for range sends[c] {
			w, err := q.enqueue(Job{Customer: c, Weight: weights[c], PromptTokens: Tokens(random.IntN(largest))})
			require.NoError(t, err)
			waiters = append(waiters, w)
		}
	}
	require.Greater(t, unfairness(waiters[1:], weights), 256.0+largest, "FIFO should exceed the bound")

	first := granted(waiters)[0]
	first.grant.Done(first.job.PromptTokens, 0)
	var order []*waiter
	for range 700 {
		now := granted(waiters)
		require.Len(t, now, 1)
		order = append(order, now[0])
		now[0].grant.Done(now[0].job.PromptTokens, 0)
	}
	require.LessOrEqual(t, unfairness(order, weights), 256.0+2*largest)
}

// unfairness returns the largest difference of service divided by weight between
// customers at any time while the first 700 jobs are served in that order.
func unfairness(order []*waiter, weights map[mn.CustomerID]float64) float64 {
	service := make(map[mn.CustomerID]float64)
	for c := range weights {
		service[c] = 0
	}
	worst := 0.0
	for _, w := range order[:700] {
		service[w.job.Customer] += float64(w.cost) / weights[w.job.Customer]
		low, high := service["flood"], service["flood"]
		for _, s := range service {
			low, high = min(low, s), max(high, s)
		}
		worst = max(worst, high-low)
	}
	return worst
}

// TestEarlyRejectionIsCorrect guards against rejecting jobs that would have been in
// time. It runs an endpoint whose latency is known and checks that each rejected
// job would have ended after its deadline.
func TestEarlyRejectionIsCorrect(t *testing.T) {
	clock := mn.NewManualClock(1000)
	limits := Limits{Running: 1, QueuedPerCustomer: 1000, Queued: 1000, Quantum: 512, OutputCost: 1}
	q := New(clock, limits)
	q.latencies[0] = TokenLatency{PrefillMillis: 1, DecodeMillis: 1}
	random := rand.New(rand.NewPCG(3, 4))
	var waiters []*waiter
	var ends mn.Millis // when the job at the endpoint ends
	rejected, late, done := 0, 0, 0
	for clock.Now() < 200_000 {
		if now := granted(waiters); len(now) == 1 && clock.Now() >= ends {
			w := now[0]
			w.grant.FirstToken()
			w.grant.Done(w.job.PromptTokens, 0)
			if clock.Now() > w.job.Deadline {
				late++
			}
			done++
			if next := granted(waiters); len(next) == 1 {
				ends = clock.Now() + mn.Millis(next[0].job.PromptTokens)
			}
		}
		if random.IntN(100) == 0 {
			job := Job{Customer: "a", PromptTokens: Tokens(64 + random.IntN(200)), Deadline: clock.Now() + 500}
			idle := q.running == 0
			finish := max(ends, clock.Now()) + mn.Millis(q.queuedTokens) + mn.Millis(job.PromptTokens)
			w, err := q.enqueue(job)
			if err != nil {
				require.Equal(t, mn.DeadlineTooShort, mn.CodeOf(err))
				require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
				require.Greater(t, finish, job.Deadline, "rejected a job that would have been in time")
				rejected++
			} else {
				waiters = append(waiters, w)
				if idle {
					ends = clock.Now() + mn.Millis(job.PromptTokens)
				}
			}
		}
		clock.Advance(1)
	}
	require.Greater(t, rejected, 100)
	require.Greater(t, done, 1000)
	require.Less(t, float64(late), 0.35*float64(done))
}

// TestInvariants drives a queue with random arrivals, ends and cancellations.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := mn.NewManualClock(1)
		limits := Limits{
			Running:           rapid.IntRange(1, 4).Draw(t, "running"),
			QueuedPerCustomer: rapid.IntRange(0, 5).Draw(t, "per_customer"),
			Queued:            rapid.IntRange(1, 9).Draw(t, "queued"),
			PrefillTokens:     Tokens(rapid.SampledFrom([]int{0, 1, 3000}).Draw(t, "prefill")),
			Quantum:           10, OutputCost: 2,
		}
		q := New(clock, limits)
		var waiters []*waiter
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				job := Job{
					Customer:        mn.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")),
					Weight:          rapid.SampledFrom([]float64{0, 0.01, 1, 7}).Draw(t, "weight"),
					PromptTokens:    Tokens(rapid.IntRange(0, 2000).Draw(t, "prompt")),
					MaxOutputTokens: Tokens(rapid.IntRange(0, 100).Draw(t, "output")),
					Deadline:        rapid.SampledFrom([]mn.Millis{0, 50, 5000}).Draw(t, "deadline"),
				}
				if w, err := q.enqueue(job); err == nil {
					waiters = append(waiters, w)
				} else {
					require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
				}
			},
			"end": func(t *rapid.T) {
				if now := granted(waiters); len(now) > 0 {
					w := rapid.SampledFrom(now).Draw(t, "job")
					w.grant.FirstToken()
					clock.Advance(mn.Millis(rapid.IntRange(0, 30).Draw(t, "took")))
					w.grant.Done(w.job.PromptTokens, w.job.MaxOutputTokens/2)
				}
			},
			"abandon": func(t *rapid.T) {
				if len(waiters) > 0 {
					q.abandon(rapid.SampledFrom(waiters).Draw(t, "job"), context.Canceled)
				}
			},
			"": func(t *rapid.T) { checkInvariants(t, q, waiters) },
		})
	})
}

func checkInvariants(t *rapid.T, q *Queue, waiters []*waiter) {
	undecided, prompt, backlog := 0, Tokens(0), Cost(0)
	last := make(map[mn.CustomerID]bool)
	for _, w := range waiters {
		select {
		case <-w.decided:
			require.True(t, (w.grant == nil) != (w.err == nil))
			if w.grant != nil {
				require.False(t, last[w.job.Customer], "a job overtook another of its customer")
			}
		default:
			undecided++
			prompt += w.job.PromptTokens
			backlog += w.cost
			last[w.job.Customer] = true
		}
	}
	require.Equal(t, len(granted(waiters)), q.running)
	require.LessOrEqual(t, q.running, q.limits.Running)
	require.Equal(t, undecided, q.waiting)
	require.LessOrEqual(t, q.waiting, q.limits.Queued)
	require.Equal(t, prompt, q.queuedTokens)
	require.InDelta(t, float64(backlog), float64(q.backlog), 1e-3)
	require.LessOrEqual(t, q.limit.jobs(), q.limits.Running)
	require.True(t, q.waiting == 0 || q.atCapacity(), "jobs wait while the endpoint has capacity")
	require.LessOrEqual(t, len(q.customers), undecided+q.running)
}

func TestAcquireCancelAndDrain(t *testing.T) {
	q := New(mn.NewManualClock(1), Limits{Running: 1, QueuedPerCustomer: 1, Queued: 1, Quantum: 1})
	ctx, cancel := context.WithCancel(context.Background())
	g, err := q.Acquire(ctx, Job{Customer: "a"})
	require.NoError(t, err)
	cancel()
	_, err = q.Acquire(ctx, Job{Customer: "a"})
	require.Equal(t, mn.Cancelled, mn.CodeOf(err))
	require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
	require.ErrorIs(t, q.Drain(ctx), context.Canceled)
	_, err = q.Acquire(context.Background(), Job{Customer: "b"})
	require.Equal(t, mn.Draining, mn.CodeOf(err))
	g.Done(0, 0)
	g.Done(0, 0)
	require.NoError(t, q.Drain(context.Background()))
	require.Empty(t, q.customers)
}
