package procs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/procs"
)

// callerUsage counts usage on the callers' side, from end markers and answers.
type callerUsage struct {
	mu    sync.Mutex
	lines map[string]mn.UsageLine
	// unanswered has the last error of each call without an answer, by customer.
	// Such a call may have run.
	unanswered map[mn.CustomerID][]error
}

// check compares reported usage with the callers' counts. Generations must match to
// the token; calls may exceed the count by the number of unanswered ones.
func (l *callerUsage) check(got map[string]mn.UsageLine) error {
	for key, want := range l.lines {
		u := got[key]
		extra := u.Requests - want.Requests
		if want.Pool == "orderbalie" && extra > 0 && extra <= int64(len(l.unanswered[want.Customer])) {
			continue
		}
		if u != want {
			return fmt.Errorf("usage reported %v, counted by callers %v", u, want)
		}
	}
	if len(got) != len(l.lines) {
		return fmt.Errorf("usage reported %v, counted by callers %v", got, l.lines)
	}
	return nil
}

func (l *callerUsage) add(customer mn.CustomerID, pool mn.PoolID, prompt, output int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := string(customer) + "/" + string(pool)
	u := l.lines[key]
	u.Customer, u.Pool = customer, pool
	u.Requests++
	u.PromptTokens += prompt
	u.OutputTokens += output
	l.lines[key] = u
}

// sendTraffic sends generations, and calls with idempotency keys, of two customers
// through all entries until ctx is done. It returns wait groups for both.
func (l *callerUsage) sendTraffic(ctx context.Context, c *procs.Cluster, entries ...string) (generations, calls *sync.WaitGroup) {
	generations, calls = &sync.WaitGroup{}, &sync.WaitGroup{}
	keys := map[mn.CustomerID]string{"voering": voeringKey, "birligi": birligiKey}
	for customer, key := range keys {
		for i := range 4 {
			r := rand.New(rand.NewPCG(uint64(i), uint64(len(customer))))
			wg := calls
			if i%2 == 0 {
				wg = generations
			}
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					entry := c.Nodes[mn.VMID(entries[r.IntN(len(entries))])]
					if i%2 == 0 {
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						_, end, err := generate(ctx, c.CallerClient(entry, key), fmt.Sprintf("prompt %d of %d", n, i), 5+r.Int64N(40))
						cancel()
						if err == nil {
							l.add(customer, "taalpers", end.PromptTokens, end.OutputTokens)
						}
						continue
					}
					l.call(c, entries, key, customer, r)
				}
			})
		}
	}
	return generations, calls
}

// call sends one call and counts it. It retries through any entry, with the same
// idempotency key, until the call is answered or 8 s have passed.
func (l *callerUsage) call(c *procs.Cluster, entries []string, key string, customer mn.CustomerID, r *rand.Rand) {
	req := &apipb.CallRequest{Pool: "orderbalie", Body: []byte("reel"), IdempotencyKey: string(mn.NewRequestID())}
	deadline := time.Now().Add(8 * time.Second)
	for {
		entry := c.Nodes[mn.VMID(entries[r.IntN(len(entries))])]
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := c.CallerClient(entry, key).Call(ctx, req)
		cancel()
		if err == nil {
			l.add(customer, "orderbalie", 0, 0)
			return
		}
		if time.Now().After(deadline) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.unanswered[customer] = append(l.unanswered[customer], err)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reportedUsage returns the sum of the usage reports at the platform, counting each
// window once. It fails if a window was reported with different figures.
func reportedUsage(t require.TestingT, c *procs.Cluster) map[string]mn.UsageLine {
	var all []fakes.TimedReport
	require.NoError(t, procs.FetchJSON(c.PlatformURL()+"/admin/usage", &all))
	sum := map[string]mn.UsageLine{}
	seen := map[int64]bool{}
	for _, r := range all {
		require.False(t, r.Conflict, "window %d", r.Window)
		if seen[r.Window] {
			continue
		}
		seen[r.Window] = true
		for _, u := range r.Lines {
			key := string(u.Customer) + "/" + string(u.Pool)
			u.Requests += sum[key].Requests
			u.PromptTokens += sum[key].PromptTokens
			u.OutputTokens += sum[key].OutputTokens
			sum[key] = u
		}
	}
	return sum
}

// holderOf returns the entry that wrote the last claim or renewal in the control
// stream.
func holderOf(t *testing.T, c *procs.Cluster) *procs.Node {
	t.Helper()
	var holder *procs.Node
	eventually(t, 10*mn.Second, func(ctx context.Context) error {
		batch, err := c.PlatformClient().Read(ctx, mn.ControlStream, 1, 100_000, 0)
		if err != nil {
			return err
		}
		for _, e := range batch.Entries {
			r, err := mn.DecodeRecord(e.Data)
			if err == nil && (r.Claim != nil || r.Renewal != nil) {
				holder = c.Nodes[r.Writer]
			}
		}
		if holder == nil {
			return fmt.Errorf("no holder yet")
		}
		return nil
	})
	return holder
}

// TestUsageReportsMatchAnswers serves callers while the platform loses answers to appends
// and reports, the log is down, the holder is killed while it reports, and an agent is
// killed. Guards against usage that is lost or reported twice: the reports must add up
// to what callers received, to the token.
func TestUsageReportsMatchAnswers(t *testing.T) {
	t.Parallel()
	c := newClusterWith(t, options{extraEntrySettings: "[control]\nusage_window = 400ms\nlease = 1500ms\n"}, 3, 2, 2)
	platform := c.PlatformURL()
	fault := func(name string, value int64) { require.NoError(t, c.SetFault(platform, name, value)) }
	l := &callerUsage{lines: map[string]mn.UsageLine{}, unanswered: map[mn.CustomerID][]error{}}
	entries := []string{"entry-1", "entry-2", "entry-3"}
	holder := holderOf(t, c)
	time.Sleep(1500 * time.Millisecond) // until agents have taken over the keys of their homes

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	generations, calls := l.sendTraffic(ctx, c, entries...)
	time.Sleep(time.Second)
	fault(fakes.AppendLost, 3)
	fault(fakes.UsageLost, 2)
	time.Sleep(time.Second)
	fault(fakes.LogDown, 1)
	time.Sleep(time.Second)
	fault(fakes.LogDown, 0)
	time.Sleep(time.Second)
	fault(fakes.UsageLost, 1000) // every report takes effect, none is answered
	time.Sleep(time.Second)
	stop()
	generations.Wait()
	holder.Proc.Kill() // with up to 1 s of records that it hasn't appended
	calls.Wait()
	time.Sleep(1500 * time.Millisecond) // so that the processes that record an answer aren't killed at the same time
	c.Nodes["taalpers-1"].Proc.Kill()
	fault(fakes.UsageLost, 0)

	eventually(t, 15*mn.Second, func(context.Context) error {
		return l.check(reportedUsage(t, c))
	})
	t.Logf("answered %v, unanswered %v", l.lines, l.unanswered)
}
