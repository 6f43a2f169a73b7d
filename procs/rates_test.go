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

// timedCall is one call of a customer and when it was sent and answered, in seconds.
type timedCall struct {
	sent, answered float64
	code           mn.Code
}

// callLoad sends calls at a rate through entries, four in five through the
// first, and collects what became of them.
type callLoad struct {
	t       *testing.T
	cluster *procs.Cluster
	start   time.Time

	mu    sync.Mutex
	calls []timedCall
	wg    sync.WaitGroup
}

func newCallLoad(t *testing.T, c *procs.Cluster, rate, burst float64) *callLoad {
	_, err := c.Declare(t.Context(),
		mn.Resource{Customer: &mn.Customer{ID: "limited", Rate: rate, Burst: burst}},
		mn.Resource{Key: &mn.Key{Name: "limited-1", Hash: mn.HashKey(limitedKey), Customer: "limited"}})
	require.NoError(t, err)
	return &callLoad{t: t, cluster: c, start: time.Now()}
}

func (b *callLoad) send(rate float64, duration time.Duration, entries ...string) {
	count := int(rate * duration.Seconds())
	for i := range count {
		time.Sleep(time.Duration(float64(time.Second) / rate))
		entry := entries[0]
		if i%5 == 4 {
			entry = entries[i/5%len(entries)]
		}
		b.wg.Go(func() { b.call(entry) })
	}
}

func (b *callLoad) call(entry string) {
	ctx, cancel := context.WithTimeout(b.t.Context(), 5*time.Second)
	defer cancel()
	s := timedCall{sent: time.Since(b.start).Seconds()}
	_, err := b.cluster.CallerClient(b.cluster.Nodes[mn.VMID(entry)], limitedKey).Call(ctx, &apipb.CallRequest{Pool: "orderbalie", Body: []byte("x")})
	s.answered = time.Since(b.start).Seconds()
	if err != nil {
		s.code = mn.CodeOf(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, s)
}

func (b *callLoad) count(code mn.Code) int {
	b.wg.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.calls {
		if s.code == code {
			n++
		}
	}
	return n
}

// requireWithin checks every window: calls that were sent and answered within
// it must not be more than the rate and burst allow.
func (b *callLoad) requireWithin(rate, burst float64) {
	b.wg.Wait()
	done := slices.DeleteFunc(slices.Clone(b.calls), func(s timedCall) bool { return s.code != mn.OK })
	for _, first := range done {
		for _, last := range done {
			n := 0
			for _, s := range done {
				if s.sent >= first.sent && s.answered <= last.answered {
					n++
				}
			}
			limit := math.Floor(rate*(last.answered-first.sent) + burst + 1e-6)
			require.LessOrEqual(b.t, float64(n), max(0, limit), "between %.3f and %.3f s", first.sent, last.answered)
		}
	}
}

// TestRatesHoldThroughFaults sends three times a customer's rate while entries
// are killed and paused and the log is down.
func TestRatesHoldThroughFaults(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0, 1)
	const rate, burst = 30, 20
	b := newCallLoad(t, c, rate, burst)
	time.Sleep(time.Second)

	b.send(3*rate, 2*time.Second, "entry-1", "entry-2", "entry-3")
	c.Nodes["entry-2"].Proc.Kill()
	b.send(3*rate, 2*time.Second, "entry-1", "entry-3")
	c.Nodes["entry-3"].Proc.Pause()
	require.NoError(t, c.SetFault(c.PlatformURL(), "log_down", 1))
	b.send(3*rate, 4*time.Second, "entry-1")
	c.Nodes["entry-3"].Proc.Resume()
	b.send(3*rate, time.Second, "entry-3", "entry-1")
	require.NoError(t, c.SetFault(c.PlatformURL(), "log_down", 0))
	b.send(3*rate, time.Second, "entry-3", "entry-1")

	b.requireWithin(rate, burst)
	require.Greater(t, b.count(mn.OK), 10*rate/4, "the customer is served meanwhile")
	t.Logf("answered %d, rate exceeded %d, not current %d of %d", b.count(mn.OK), b.count(mn.RateExceeded), b.count(mn.NotCurrent), len(b.calls))
}

// TestNoRejectionWithinRate sends four fifths of a customer's rate, mostly through
// one of three entries.
func TestNoRejectionWithinRate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0, 1)
	const rate, burst = 50, 25
	b := newCallLoad(t, c, rate, burst)
	time.Sleep(4 * time.Second) // the entries' joining is settled
	b.send(0.8*rate, 5*time.Second, "entry-1", "entry-2", "entry-3")
	b.wg.Wait()
	require.Equal(t, len(b.calls), b.count(mn.OK), "%d of %d refused", b.count(mn.RateExceeded), len(b.calls))
}
