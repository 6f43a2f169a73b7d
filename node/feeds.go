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
	// feedRetryPause is the pause before a stream that broke is opened again.
	feedRetryPause = 500 * mn.Millisecond
)

// loadFeeds keeps a stream of load reports open from each agent whose reports the table
// needs, with one goroutine for each.
type loadFeeds struct {
	base   *base
	table  *route.Table
	agents *agent.Client
	open   map[mn.VMID]openFeed
	// report is called with each load report, after the table has applied it.
	report func(vm mn.VMID, r *meshpb.LoadReport)
}

// openFeed is one stream of load reports.
type openFeed struct {
	incarnation mn.Incarnation
	stop        context.CancelFunc
}

func newLoadFeeds(b *base, t *route.Table, agents *agent.Client, report func(mn.VMID, *meshpb.LoadReport)) *loadFeeds {
	return &loadFeeds{base: b, table: t, agents: agents, open: make(map[mn.VMID]openFeed), report: report}
}

// run follows the roster until ctx is done.
func (f *loadFeeds) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for ctx.Err() == nil {
		changed := f.base.controlState.Changed()
		f.reconcile(ctx, g, f.table.ReportSources(f.base.self.VM))
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

// reconcile opens the feeds in wanted that are not open and stops the others.
func (f *loadFeeds) reconcile(ctx context.Context, g *errgroup.Group, wanted []mn.Member) {
	incarnations := make(map[mn.VMID]mn.Incarnation)
	for _, m := range wanted {
		incarnations[m.VM] = m.Incarnation
	}
	for vm, o := range f.open {
		if incarnations[vm] != o.incarnation {
			o.stop()
			delete(f.open, vm)
		}
	}
	for _, m := range wanted {
		if _, ok := f.open[m.VM]; ok {
			continue
		}
		feedCtx, stop := context.WithCancel(ctx)
		f.open[m.VM] = openFeed{m.Incarnation, stop}
		g.Go(func() error {
			f.followAgent(feedCtx, m, reportInterval(len(wanted)))
			return nil
		})
	}
}

// followAgent keeps the feed of m open until ctx is done, with a report per interval.
func (f *loadFeeds) followAgent(ctx context.Context, m mn.Member, interval mn.Millis) {
	for ctx.Err() == nil {
		err := f.agents.WatchLoad(ctx, m.Addr, interval, func(r *meshpb.LoadReport) {
			report, events := reportOf(r)
			f.table.ApplyReport(m.VM, report, events, r.EventsLost)
			f.report(m.VM, r)
		})
		if ctx.Err() != nil {
			return
		}
		f.table.MarkUnreachable(m.VM)
		f.base.log.WithField("event", "feed_lost").WithField("agent", m.VM).Warn(err)
		_ = f.base.clock.Sleep(ctx, feedRetryPause)
	}
}

// reportOf returns the routing table's form of a load report, and its cache events. It
// skips events with a prefix that isn't a valid block.
func reportOf(r *meshpb.LoadReport) (route.Report, []route.CacheEvent) {
	var events []route.CacheEvent
	for _, p := range r.Prefixes {
		if b, err := route.ParseBlock(p.Prefix); err == nil {
			events = append(events, route.CacheEvent{Block: b, Evicted: p.Evicted})
		}
	}
	return route.Report{
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
