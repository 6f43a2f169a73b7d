package procs_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/order"
	"mustardnotch/fakes"
	"mustardnotch/io/agent"
	"mustardnotch/io/wire"
	"mustardnotch/procs"
)

var takeovers = flag.Int("takeovers", 1, "how often each fault of the control holder is injected and timed")

// watcher applies the control stream independently of the processes under test.
type watcher struct {
	*conf.StateMachine
	// voidClaims counts the claims of the control lease that had no effect.
	voidClaims atomic.Int64
}

// watch starts a watcher that runs until the test ends.
func watch(t *testing.T, c *procs.Cluster) *watcher {
	w := &watcher{StateMachine: conf.New()}
	w.OnRecord(func(_ mn.Offset, r *mn.Record, v conf.ApplyResult) {
		if r.Claim != nil && v.Err != nil {
			w.voidClaims.Add(1)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			b, err := c.PlatformClient().Read(ctx, mn.ControlStream, w.View().Offset+1, 512, 200)
			if err == nil {
				_ = w.Apply(b.Entries)
			} else {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// awaitLease waits for a lease for which ok returns true, and returns it. The test
// fails after limit.
func (w *watcher) awaitLease(t *testing.T, limit mn.Millis, ok func(l mn.Lease) bool) mn.Lease {
	t.Helper()
	timeout := time.After(limit.Duration())
	for {
		changed := w.Changed()
		if l := w.View().Lease; l.Term != 0 && ok(l) {
			return l
		}
		select {
		case <-changed:
		case <-timeout:
			require.FailNow(t, "no holder", "after %d ms the lease is %+v", limit, w.View().Lease)
		}
	}
}

// awaitNewTerm waits for a lease with a term after old.
func (w *watcher) awaitNewTerm(t *testing.T, old mn.Term) mn.Lease {
	t.Helper()
	return w.awaitLease(t, 15*mn.Second, func(l mn.Lease) bool { return l.Term > old })
}

// setResources appends a change that sets resources, based on their present versions.
func (w *watcher) setResources(ctx context.Context, c *procs.Cluster, resources ...mn.Resource) {
	change := &mn.Change{}
	for _, r := range resources {
		change.Edits = append(change.Edits, mn.Edit{Name: r.Name(), Base: w.View().Resources[r.Name()].Version, Set: &r})
	}
	_, _ = c.Append(ctx, &mn.Record{Change: change})
}

// changeResources changes the version of the model and the size of the pool taalpers
// every 400 ms, so that the holder keeps sending orders, until the test ends or stop
// is called.
func changeResources(t *testing.T, c *procs.Cluster) (stop func()) {
	pool := mn.Pool{ID: "taalpers", Kind: mn.PoolModel, Model: "taalpers", Fencing: true}
	w := watch(t, c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := int64(2); ctx.Err() == nil; i++ {
			pool.MinEndpoints = 2 + i%7
			pool.MaxEndpoints = pool.MinEndpoints
			w.setResources(ctx, c, mn.Resource{Model: &mn.Model{ID: "taalpers", Version: fmt.Sprint(i), MaxTokens: 4096}}, mn.Resource{Pool: &pool})
			time.Sleep(400 * time.Millisecond)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

// requireOrders requires the orders that took effect at the platform and the engines
// to have non-decreasing terms and fencing tokens, one holder for each term, and no
// conflicts or aborted requests. There must be at least atLeast orders of each kind.
func requireOrders(t *testing.T, c *procs.Cluster, atLeast int) {
	t.Helper()
	var fleetOrders []fakes.TimedOrder
	require.NoError(t, procs.FetchJSON(c.PlatformURL()+"/admin/orders", &fleetOrders))
	require.True(t, slices.IsSortedFunc(fleetOrders, func(a, b fakes.TimedOrder) int { return int(a.Term - b.Term) }), "%+v", fleetOrders)
	require.GreaterOrEqual(t, len(fleetOrders), atLeast)
	holders := map[mn.Term]mn.VMID{}
	for _, o := range fleetOrders {
		require.Contains(t, []mn.VMID{"", o.Holder}, holders[o.Term])
		holders[o.Term] = o.Holder
	}
	engineOrders := 0
	for _, n := range c.Nodes {
		if n.Endpoint == nil {
			continue
		}
		var orders []fakes.TimedEngineOrder
		require.NoError(t, procs.FetchJSON(n.EndpointURL()+"/admin/orders", &orders))
		engineOrders += len(orders)
		for i, o := range orders {
			require.False(t, o.Conflict, "%+v", o)
			require.Zero(t, o.Aborted, "%+v", o)
			require.False(t, i > 0 && o.FencingToken < orders[i-1].FencingToken, "%+v", orders)
		}
	}
	require.GreaterOrEqual(t, engineOrders, atLeast)
	t.Logf("%d fleet orders, %d engine orders, %d terms", len(fleetOrders), engineOrders, len(holders))
}

// TestPausedHolderGivesNoOrders pauses the holder with orders in flight until its
// lease has expired and another entry holds the next one, then resumes it. Guards
// against orders of the resumed holder taking effect.
func TestPausedHolderGivesNoOrders(t *testing.T) {
	for _, fencing := range []int64{0, 1} {
		t.Run(fmt.Sprint("engine checks fencing=", fencing), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 1, 0)
			engine := c.Nodes["taalpers-1"].EndpointURL()
			require.NoError(t, c.SetFault(engine, fakes.ChangeMillis, 100))
			require.NoError(t, c.SetFault(engine, fakes.Fencing, fencing))
			w := watch(t, c)
			stop := changeResources(t, c)
			for range 1 + *takeovers {
				old := w.awaitNewTerm(t, 0)
				time.Sleep(2 * time.Second)
				p := c.Nodes[old.Holder].Proc
				require.NoError(t, p.Pause())
				next := w.awaitNewTerm(t, old.Term)
				require.NotEqual(t, old.Holder, next.Holder)
				time.Sleep(1500 * time.Millisecond)
				require.NoError(t, p.Resume())
				time.Sleep(time.Second)
				require.Equal(t, next.Term, w.View().Lease.Term)
			}
			stop()
			requireOrders(t, c, 4)
		})
	}
}

// TestLateOrdersHaveNoEffect isolates the holder with orders in flight, so that they
// reach the agent only after another holder has sent orders. Guards against such
// late orders taking effect.
func TestLateOrdersHaveNoEffect(t *testing.T) {
	t.Parallel()
	c, err := procs.New(binDir, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	c.UseLinks = true
	declare(t, c)
	for i := range 3 {
		_, err := c.AddEntry(fmt.Sprint("entry-", i+1), "tiel-a")
		require.NoError(t, err)
	}
	engine, err := c.AddEngine("taalpers-1", "tiel-a", "taalpers", "taalpers")
	require.NoError(t, err)
	require.NoError(t, c.SetFault(engine.EndpointURL(), fakes.ChangeMillis, 50))
	w := watch(t, c)
	stop := changeResources(t, c)
	for i := range 2 + *takeovers {
		old := w.awaitNewTerm(t, 0)
		time.Sleep(time.Duration(1500+130*(i%8)) * time.Millisecond)
		n := c.Nodes[old.Holder]
		c.Isolate(n)
		w.awaitNewTerm(t, old.Term)
		time.Sleep(2 * time.Second)
		c.Rejoin(n)
	}
	time.Sleep(2 * time.Second)
	stop()
	requireOrders(t, c, 3)
}

// TestOutdatedOrderIsRejected stamps an order and sends it after its TTL has passed,
// after the holder of its term has been replaced, and after the agent has restarted.
// Each must be rejected and must not reach the engine.
func TestOutdatedOrderIsRejected(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, 0)
	n := c.Nodes["taalpers-1"]
	w := watch(t, c)
	old := w.awaitNewTerm(t, 0)
	conns := wire.NewConnPool("")
	defer conns.Close()
	client := agent.New(conns).OrderClient(n.VM.Addr)
	var stamped mn.Order
	eventually(t, 10*mn.Second, func(ctx context.Context) error {
		s, err := client.Stamp(ctx, old.Term)
		if err == nil && s.Busy {
			err = fmt.Errorf("engine is still busy")
		}
		stamped = mn.Order{
			Term: old.Term, Sequence: 1 << 40, Stamp: s.Stamp, TTL: mn.Minute, Incarnation: s.Incarnation,
			Target: mn.EngineTarget{Role: mn.EngineDecode, Model: "taalpers", Version: "1"},
		}
		return err
	})
	expired := stamped
	expired.TTL = 100
	time.Sleep(200 * time.Millisecond)
	requireRejected(t, mn.OrderExpired, client.Order(t.Context(), expired))

	require.NoError(t, c.Nodes[old.Holder].Proc.Pause())
	next := w.awaitNewTerm(t, old.Term)
	time.Sleep(time.Second)
	requireRejected(t, mn.OrderStale, client.Order(t.Context(), stamped))
	_, err := client.Stamp(t.Context(), old.Term)
	requireRejected(t, mn.OrderStale, err)

	n.Proc.Kill()
	require.NoError(t, c.Restart(n))
	stamped.Term = next.Term
	requireRejected(t, order.WrongIncarnation, client.Order(t.Context(), stamped))
	require.NoError(t, c.Nodes[old.Holder].Proc.Resume())

	var orders []fakes.TimedEngineOrder
	require.NoError(t, procs.FetchJSON(n.EndpointURL()+"/admin/orders", &orders))
	require.Empty(t, orders)
}

func requireRejected(t *testing.T, code mn.Code, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, code, mn.CodeOf(err), "%v", err)
	require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
}

// TestOrdersConverge kills an agent, an engine and the holder with orders in flight,
// and loses answers to orders and appends that took effect. Engines and platform must
// reach the declared state without conflicting orders on the way.
func TestOrdersConverge(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, 0)
	for _, id := range []mn.VMID{"taalpers-1", "taalpers-2"} {
		require.NoError(t, c.SetFault(c.Nodes[id].EndpointURL(), fakes.ChangeMillis, 400))
		require.NoError(t, c.SetFault(c.Nodes[id].EndpointURL(), fakes.OrderLost, 2))
	}
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.FleetLost, 3))
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.AppendLost, 5))
	w := watch(t, c)
	stop := changeResources(t, c)
	old := w.awaitNewTerm(t, 0)
	time.Sleep(3 * time.Second)
	agent, engine := c.Nodes["taalpers-1"], c.Nodes["taalpers-2"]
	agent.Proc.Kill()
	require.NoError(t, c.Restart(agent))
	time.Sleep(time.Second)
	engine.Endpoint.Kill()
	require.NoError(t, c.StartEndpoint(engine))
	c.Nodes[old.Holder].Proc.Kill()
	require.NoError(t, c.Restart(c.Nodes[old.Holder]))
	w.awaitNewTerm(t, old.Term)
	time.Sleep(2 * time.Second)
	stop()

	w.setResources(t.Context(), c,
		mn.Resource{Model: &mn.Model{ID: "taalpers", Version: "final", MaxTokens: 4096}},
		mn.Resource{Pool: &mn.Pool{ID: "taalpers", Kind: mn.PoolModel, Model: "taalpers", Fencing: true, MinEndpoints: 6, MaxEndpoints: 6}})
	eventually(t, 25*mn.Second, func(ctx context.Context) error { return checkDeclared(ctx, c, "final", 6) })
	requireOrders(t, c, 1)
}

// checkDeclared returns an error unless all engines run version and the platform's
// target sizes add up to size.
func checkDeclared(ctx context.Context, c *procs.Cluster, version string, size int64) error {
	states, err := c.PlatformClient().FleetStates(ctx)
	if err != nil {
		return err
	}
	for _, s := range states {
		size -= s.Target
	}
	if size != 0 {
		return fmt.Errorf("platform targets differ from the declared size by %d endpoints: %+v", size, states)
	}
	for _, n := range c.Nodes {
		if n.Endpoint == nil {
			continue
		}
		var s mn.EngineState
		if err := procs.FetchJSON(n.EndpointURL()+"/state", &s); err != nil {
			return err
		}
		if s.Changing || s.Version != version {
			return fmt.Errorf("engine of %s has state %+v", n.VM.ID, s)
		}
	}
	return nil
}

// TestEngineChangeDrainsStreams changes engines while they generate. Guards against a
// planned change that doesn't wait for open streams and truncates them.
func TestEngineChangeDrainsStreams(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2, 0)
	for _, n := range []mn.VMID{"taalpers-1", "taalpers-2"} {
		u := c.Nodes[n].EndpointURL()
		require.NoError(t, c.SetFault(u, fakes.TokenMillis, 20))
		require.NoError(t, c.SetFault(u, fakes.ChangeMillis, 300))
	}
	client := c.CallerClient(c.Nodes["entry-1"], voeringKey)
	eventually(t, 6*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, client, "warm", 1)
		return err
	})
	stop := changeResources(t, c)
	results := make(chan error)
	for i := range 8 {
		go func() {
			var err error
			for j := 0; j < 8 && err == nil; j++ {
				prompt := fmt.Sprint("ledger ", i, j)
				var text string
				text, _, err = generate(t.Context(), client, prompt, 60)
				if err == nil && text != fakes.Output(prompt, 60) {
					err = fmt.Errorf("unexpected answer %q", text)
				}
			}
			results <- err
		}()
	}
	for range 8 {
		require.NoError(t, <-results)
	}
	stop()
	requireOrders(t, c, 2)
}

// TestControlLogDown takes the log down for longer than the lease. Requests must be
// served meanwhile, and an entry must hold a lease again after the log is back.
func TestControlLogDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, 0)
	require.NoError(t, c.SetFault(c.Nodes["taalpers-1"].EndpointURL(), fakes.ChangeMillis, 100))
	w := watch(t, c)
	client := c.CallerClient(c.Nodes["entry-1"], voeringKey)
	w.awaitNewTerm(t, 0)
	eventually(t, 6*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, client, "warm", 1)
		return err
	})
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 1))
	before := w.View().Lease.Last
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		_, _, err := generate(t.Context(), client, "during", 3)
		require.NoError(t, err)
	}
	require.Equal(t, before, w.View().Lease.Last)
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 0))
	w.awaitLease(t, 10*mn.Second, func(l mn.Lease) bool { return l.Last > before })
}

// TestControlLogSlow slows the log to 700 ms a call. The holder must keep its lease and
// still send orders.
func TestControlLogSlow(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, 0)
	w := watch(t, c)
	old := w.awaitNewTerm(t, 0)
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogSlow, 700))
	stop := changeResources(t, c)
	time.Sleep(12 * time.Second)
	stop()
	require.Equal(t, old.Term, w.View().Lease.Term)
	requireOrders(t, c, 2)
}

// TestRacingEntries starts all entries at once while answers to appends that took
// effect are lost. The entries must agree on one holder, which keeps the lease.
func TestRacingEntries(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 0, 0)
	w := watch(t, c)
	first := w.awaitNewTerm(t, 0)
	for _, n := range c.Nodes {
		n.Proc.Kill()
	}
	require.NoError(t, c.SetFault(c.PlatformURL(), fakes.AppendLost, 12))
	for _, n := range c.Nodes {
		require.NoError(t, c.StartAsync(n))
	}
	l := w.awaitNewTerm(t, first.Term)
	time.Sleep(4 * time.Second)
	require.Equal(t, l.Term, w.View().Lease.Term, "the first holder must keep the lease")
	require.Greater(t, w.View().Lease.Last, l.Last)
	t.Logf("void claims: %d", w.voidClaims.Load())
}

// TestRosterRemoval checks that a dead member whose VM is no longer listed leaves the
// roster, and that neither a dead member that is still listed nor an unlisted one that
// still answers does.
func TestRosterRemoval(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3, 0)
	w := watch(t, c)
	w.awaitNewTerm(t, 0)
	unlisted, unreachable := c.Nodes["taalpers-1"], c.Nodes["taalpers-2"]
	unlisted.Proc.Kill()
	unreachable.Proc.Kill()
	require.NoError(t, c.RemoveVM("taalpers-1"))
	require.NoError(t, c.RemoveVM("taalpers-3"))
	eventually(t, 15*mn.Second, func(context.Context) error {
		if _, ok := w.View().Roster["taalpers-1"]; ok {
			return fmt.Errorf("taalpers-1 is still in the roster")
		}
		return nil
	})
	time.Sleep(time.Second)
	require.Contains(t, w.View().Roster, mn.VMID("taalpers-2"), "an agent that is unreachable but listed stays in the roster")
	require.Contains(t, w.View().Roster, mn.VMID("taalpers-3"), "an agent that is reachable but unlisted stays in the roster")
}

// TestTakeover measures how long it takes until the log has a valid claim of a new term
// after the holder is killed, paused or stopped gracefully, and limits the median.
func TestTakeover(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0, 0)
	w := watch(t, c)
	faults := []struct {
		name  string
		limit mn.Millis
		cause func(n *procs.Node) error
		undo  func(n *procs.Node) error
	}{
		{"kill", 5 * mn.Second, func(n *procs.Node) error { n.Proc.Kill(); return nil }, c.Restart},
		{"pause", 5 * mn.Second, func(n *procs.Node) error { return n.Proc.Pause() }, func(n *procs.Node) error { return n.Proc.Resume() }},
		{"graceful stop", 2 * mn.Second, func(n *procs.Node) error { return n.Proc.Terminate() }, func(n *procs.Node) error {
			if _, err := n.Proc.Wait(40 * mn.Second); err != nil {
				return err
			}
			return c.Restart(n)
		}},
	}
	for _, f := range faults {
		var times []mn.Millis
		for range *takeovers {
			old := w.awaitNewTerm(t, 0)
			time.Sleep(time.Duration(1500+100*(len(times)%10)) * time.Millisecond)
			start := time.Now()
			require.NoError(t, f.cause(c.Nodes[old.Holder]))
			w.awaitNewTerm(t, old.Term)
			times = append(times, mn.MillisOf(time.Since(start)))
			require.NoError(t, f.undo(c.Nodes[old.Holder]))
		}
		slices.Sort(times)
		t.Logf("%s: n=%d median=%d ms max=%d ms, void claims so far: %d", f.name, len(times), times[len(times)/2], times[len(times)-1], w.voidClaims.Load())
		require.Less(t, times[len(times)/2], f.limit)
	}
	var before, after int64
	require.NoError(t, procs.FetchJSON(c.PlatformURL()+"/admin/appends", &before))
	time.Sleep(5 * time.Second)
	require.NoError(t, procs.FetchJSON(c.PlatformURL()+"/admin/appends", &after))
	t.Logf("appends a second with an idle holder: %.1f", float64(after-before)/5)
}
