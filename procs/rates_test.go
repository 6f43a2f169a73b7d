package procs_test

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/procs"
)

const limitedKey = "key-of-a-limited-customer-of-tests"

// timedCall is one call with its result. Times are in seconds since the load's start.
type timedCall struct {
	sent, answered float64
	code           mn.Code
}

// callLoad sends calls at a constant rate and collects their results.
type callLoad struct {
	t       *testing.T
	cluster *procs.Cluster
	start   time.Time

	mu    sync.Mutex
	calls []timedCall
	wg    sync.WaitGroup
}

// newCallLoad declares a customer with the given rate and burst, and returns a load of
// that customer.
func newCallLoad(t *testing.T, c *procs.Cluster, rate, burst float64) *callLoad {
	_, err := c.Declare(t.Context(),
		mn.Resource{Customer: &mn.Customer{ID: "limited", Rate: rate, Burst: burst}},
		mn.Resource{Key: &mn.Key{Name: "limited-1", Hash: mn.HashKey(limitedKey), Customer: "limited"}})
	require.NoError(t, err)
	return &callLoad{t: t, cluster: c, start: time.Now()}
}

// send sends calls at rate for duration without waiting for answers. Four in five go to
// the first entry, the rest to all entries in turn.
func (l *callLoad) send(rate float64, duration time.Duration, entries ...string) {
	count := int(rate * duration.Seconds())
	for i := range count {
		time.Sleep(time.Duration(float64(time.Second) / rate))
		entry := entries[0]
		if i%5 == 4 {
			entry = entries[i/5%len(entries)]
		}
		l.wg.Go(func() { l.call(entry) })
	}
}

func (l *callLoad) call(entry string) {
	ctx, cancel := context.WithTimeout(l.t.Context(), 5*time.Second)
	defer cancel()
	result := timedCall{sent: time.Since(l.start).Seconds()}
	_, err := l.cluster.CallerClient(l.cluster.Nodes[mn.VMID(entry)], limitedKey).Call(ctx, &apipb.CallRequest{Pool: "orderbalie", Body: []byte("x")})
	result.answered = time.Since(l.start).Seconds()
	if err != nil {
		result.code = mn.CodeOf(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, result)
}

// count waits for all answers and returns how many calls got code.
func (l *callLoad) count(code mn.Code) int {
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.calls {
		if c.code == code {
			n++
		}
	}
	return n
}

// requireWithin requires that in every window from the sending of a served call to the
// answer of a served call, no more calls were sent and answered than rate and burst
// allow.
func (l *callLoad) requireWithin(rate, burst float64) {
	l.wg.Wait()
	done := slices.DeleteFunc(slices.Clone(l.calls), func(c timedCall) bool { return c.code != mn.OK })
	for _, first := range done {
		for _, last := range done {
			n := 0
			for _, c := range done {
				if c.sent >= first.sent && c.answered <= last.answered {
					n++
				}
			}
			limit := math.Floor(rate*(last.answered-first.sent) + burst + 1e-6)
			require.LessOrEqual(l.t, float64(n), max(0, limit), "between %.3f and %.3f s", first.sent, last.answered)
		}
	}
}

// TestRatesHoldThroughFaults sends three times a customer's rate while entries are
// killed and paused and the log is down. No more calls may be served than rate and burst
// allow.
func TestRatesHoldThroughFaults(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0, 1)
	const rate, burst = 30, 20
	load := newCallLoad(t, c, rate, burst)
	time.Sleep(time.Second)

	load.send(3*rate, 2*time.Second, "entry-1", "entry-2", "entry-3")
	c.Nodes["entry-2"].Proc.Kill()
	load.send(3*rate, 2*time.Second, "entry-1", "entry-3")
	c.Nodes["entry-3"].Proc.Pause()
	require.NoError(t, c.SetFault(c.PlatformURL(), "log_down", 1))
	load.send(3*rate, 4*time.Second, "entry-1")
	c.Nodes["entry-3"].Proc.Resume()
	load.send(3*rate, time.Second, "entry-3", "entry-1")
	require.NoError(t, c.SetFault(c.PlatformURL(), "log_down", 0))
	load.send(3*rate, time.Second, "entry-3", "entry-1")

	load.requireWithin(rate, burst)
	require.Greater(t, load.count(mn.OK), 10*rate/4, "the customer must be served throughout the faults")
	t.Logf("answered %d, rate exceeded %d, not current %d of %d", load.count(mn.OK), load.count(mn.RateExceeded), load.count(mn.NotCurrent), len(load.calls))
}

// TestNoRejectionWithinRate sends four fifths of a customer's rate, mostly through one of
// three entries. No call may be rejected.
func TestNoRejectionWithinRate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0, 1)
	const rate, burst = 50, 25
	load := newCallLoad(t, c, rate, burst)
	time.Sleep(4 * time.Second) // until all entries have joined
	load.send(0.8*rate, 5*time.Second, "entry-1", "entry-2", "entry-3")
	load.wg.Wait()
	require.Equal(t, len(load.calls), load.count(mn.OK), "%d of %d rejected", load.count(mn.RateExceeded), len(load.calls))
}
