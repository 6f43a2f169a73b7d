package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/core/route"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/agent"
)

const (
	// minReportInterval is the interval between the load reports of one agent,
	// unless maxReportsPerSecond requires a longer one.
	minReportInterval = 250 * mn.Millisecond
	// maxReportsPerSecond is the maximum rate of the reports of all agents.
	maxReportsPerSecond = 48
	// watchRetryPause is the pause before a stream that broke is opened again.
	watchRetryPause = 500 * mn.Millisecond
)

// loadWatcher keeps a stream of load reports open from each agent whose reports the table
// needs, with one goroutine for each.
type loadWatcher struct {
	base   *base
	table  *route.Table
	agents *agent.Client
	open   map[mn.VMID]openWatch
	// report is called with each load report, after the table has applied it.
	report func(vm mn.VMID, r *meshpb.LoadReport)
}

// openWatch is the open stream of load reports from one agent.
type openWatch struct {
	incarnation mn.Incarnation
	stop        context.CancelFunc
}

func newLoadWatcher(b *base, t *route.Table, agents *agent.Client, report func(mn.VMID, *meshpb.LoadReport)) *loadWatcher {
	return &loadWatcher{base: b, table: t, agents: agents, open: make(map[mn.VMID]openWatch), report: report}
}

// run follows the roster until ctx is done.
func (w *loadWatcher) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for ctx.Err() == nil {
		changed := w.base.controlState.Changed()
		w.reconcile(ctx, g, w.table.ReportSources(w.base.self.VM))
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return g.Wait()
}

// reportInterval returns the interval between the reports of one agent out of agents.
func reportInterval(agents int) mn.Millis {
	return max(minReportInterval, mn.Millis(agents)*mn.Second/maxReportsPerSecond)
}

// reconcile opens a watch of each agent in wanted that has none and stops the others.
func (w *loadWatcher) reconcile(ctx context.Context, g *errgroup.Group, wanted []mn.Member) {
	incarnations := make(map[mn.VMID]mn.Incarnation)
	for _, m := range wanted {
		incarnations[m.VM] = m.Incarnation
	}
	for vm, o := range w.open {
		if incarnations[vm] != o.incarnation {
			o.stop()
			delete(w.open, vm)
		}
	}
	for _, m := range wanted {
		if _, ok := w.open[m.VM]; ok {
			continue
		}
		watchCtx, stop := context.WithCancel(ctx)
		w.open[m.VM] = openWatch{m.Incarnation, stop}
		g.Go(func() error {
			w.watchAgent(watchCtx, m, reportInterval(len(wanted)))
			return nil
		})
	}
}

// watchAgent keeps the load reports of m coming, one per interval, until ctx is done.
func (w *loadWatcher) watchAgent(ctx context.Context, m mn.Member, interval mn.Millis) {
	for ctx.Err() == nil {
		err := w.agents.WatchLoad(ctx, m.Addr, interval, func(r *meshpb.LoadReport) {
			report, events := reportOf(r)
			w.table.ApplyReport(m.VM, report, events, r.EventsLost)
			w.report(m.VM, r)
		})
		if ctx.Err() != nil {
			return
		}
		w.table.MarkUnreachable(m.VM)
		w.base.log.WithField("event", "feed_lost").WithField("agent", m.VM).Warn(err)
		_ = w.base.clock.Sleep(ctx, watchRetryPause)
	}
}

// reportOf returns the routing table's form of a load report, and its cache events. It
// skips events with a prefix that isn't a valid block.
func reportOf(r *meshpb.LoadReport) (route.LoadReport, []route.CacheEvent) {
	var events []route.CacheEvent
	for _, p := range r.Prefixes {
		if b, err := route.ParseBlock(p.Prefix); err == nil {
			events = append(events, route.CacheEvent{Block: b, Evicted: p.Evicted})
		}
	}
	return route.LoadReport{
		Age:           mn.Millis(r.AgeMs),
		Running:       float64(r.Running),
		Limit:         float64(r.Limit),
		PrefillTokens: float64(r.PrefillTokens),
		Backlog:       r.Backlog,
		Throughput:    r.Pace,
		PrefillMillis: r.PrefillMs,
		DecodeMillis:  r.DecodeMs,
		Role:          mn.EngineRole(r.EngineRole),
		Unavailable:   r.Draining || r.Changing,
	}, events
}
