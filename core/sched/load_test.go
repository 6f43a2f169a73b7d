package sched

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// fakeEngine batches continuously. A step prefills up to 512 prompt tokens and
// generates a token for each request that is prefilled. It takes 20 ms plus 0.1 ms
// for each prompt token and 1.25 ms for each request that decodes.
type fakeEngine struct {
	clock *mn.ManualClock
	due   float64
	batch []*runningJob
}

type runningJob struct {
	w         *waiter
	prompt    int
	chunk     int
	generated Tokens
}

// begin starts a step with the requests of the batch.
func (e *fakeEngine) begin() {
	took, left := 20.0, 512
	for _, r := range e.batch {
		r.chunk = min(r.prompt, left)
		left -= r.chunk
		took += 0.1 * float64(r.chunk)
		if r.prompt == 0 {
			took += 1.25
		}
	}
	e.due += took
}

// finish ends the step and returns the waiters whose output is complete.
func (e *fakeEngine) finish() []*waiter {
	var done []*waiter
	rest := e.batch[:0]
	for _, r := range e.batch {
		r.prompt -= r.chunk
		if r.prompt == 0 {
			r.w.grant.FirstToken()
			r.generated++
		}
		if r.generated == r.w.job.MaxOutputTokens {
			done = append(done, r.w)
			continue
		}
		rest = append(rest, r)
	}
	e.batch = rest
	return done
}

// overload sends one job a second of customer "quiet" and flood jobs a second of
// customer "flood" to an engine that can serve about four of them a second. It
// returns the shares of both customers' jobs that ended in time, and the jobs in
// time per second, all from 10 to 60 seconds. If fair is false, the queue allows
// 1000 running jobs instead of 16 and treats both as one customer.
func overload(seed uint64, flood float64, fair bool) (quiet, other, goodput float64) {
	clock := mn.NewManualClock(1)
	limits := DefaultLimits()
	limits.Running = 16
	if !fair {
		limits.Running = 1000
	}
	q := New(clock, limits)
	random := rand.New(rand.NewPCG(seed, 6))
	e := &fakeEngine{clock: clock}
	var waiters []*waiter
	sent, good := map[mn.CustomerID]float64{}, map[mn.CustomerID]float64{}
	arrive := func(c mn.CustomerID) {
		job := Job{Customer: c, PromptTokens: 1200, MaxOutputTokens: 40, Deadline: clock.Now() + 3000}
		if clock.Now() > 10_000 {
			sent[c]++
		}
		if !fair {
			job.Customer = "all"
		}
		if w, err := q.enqueue(job); err == nil {
			w.job.Customer = c
			waiters = append(waiters, w)
		}
	}
	for clock.Now() < 60_000 {
		if random.Float64() < 0.001 {
			arrive("quiet")
		}
		if random.Float64() < flood/1000 {
			arrive("flood")
		}
		if float64(clock.Now()) >= e.due {
			for _, w := range e.finish() {
				if clock.Now() > 10_000 && clock.Now() <= w.job.Deadline {
					good[w.job.Customer]++
				}
				w.grant.Done(w.job.PromptTokens, w.job.MaxOutputTokens)
			}
			waiting := waiters[:0]
			for _, w := range waiters {
				switch {
				case w.grant != nil:
					e.batch = append(e.batch, &runningJob{w: w, prompt: int(w.job.PromptTokens)})
				case w.err == nil:
					waiting = append(waiting, w)
				}
			}
			waiters = waiting
			e.due = max(e.due, float64(clock.Now()))
			if len(e.batch) > 0 {
				e.begin()
			}
		}
		clock.Advance(1)
	}
	return good["quiet"] / sent["quiet"], good["flood"] / sent["flood"], (good["quiet"] + good["flood"]) / 50
}

// TestFloodDoesNotAffectOtherCustomer compares how a customer is served next to
// one that sends far more than the engine can do and next to one that doesn't,
// with and without fair queueing.
func TestFloodDoesNotAffectOtherCustomer(t *testing.T) {
	var alone, quiet, flood, goodput, unqueued, unqueuedGoodput float64
	const seeds = 5
	for seed := range uint64(seeds) {
		a, _, _ := overload(seed, 0.5, true)
		q, f, g := overload(seed, 15, true)
		n, _, ng := overload(seed, 15, false)
		alone, quiet, flood, goodput = alone+a/seeds, quiet+q/seeds, flood+f/seeds, goodput+g/seeds
		unqueued, unqueuedGoodput = unqueued+n/seeds, unqueuedGoodput+ng/seeds
	}
	t.Logf("quiet alone %.2f, flooded %.2f, unqueued %.2f; flood %.2f; goodput %.2f/s, unqueued %.2f/s", alone, quiet, unqueued, flood, goodput, unqueuedGoodput)
	require.Greater(t, alone, 0.98)
	require.Greater(t, quiet, 0.8)
	require.Greater(t, goodput, 2.9)
	require.Less(t, unqueued, 0.5)
	require.Less(t, unqueuedGoodput, goodput)
}
