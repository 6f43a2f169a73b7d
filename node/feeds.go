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
	// reportInterval is the span between load reports of one agent, unless they
	// are many.
	reportInterval = 250 * mn.Millisecond
	// reportsPerSecond bounds the reports of all agents together.
	reportsPerSecond = 48
	// feedPause is the pause before a broken feed is opened again.
	feedPause = 500 * mn.Millisecond
)

// feeds keeps a stream of load reports open from each agent that the table
// wants to hear, one task each.
type feeds struct {
	base   *base
	table  *route.Table
	agents *agent.Client
	open   map[mn.VMID]openFeed
	// report takes each load report in as well.
	report func(vm mn.VMID, r *meshpb.LoadReport)
}

// openFeed is one stream of load reports.
type openFeed struct {
	incarnation mn.Incarnation
	stop        context.CancelFunc
}

func newFeeds(b *base, t *route.Table, agents *agent.Client, report func(mn.VMID, *meshpb.LoadReport)) *feeds {
	return &feeds{base: b, table: t, agents: agents, open: make(map[mn.VMID]openFeed), report: report}
}

// run follows the roster until ctx is done.
func (f *feeds) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for ctx.Err() == nil {
		changed := f.base.fold.Changed()
		f.match(ctx, g, f.table.ReportSources(f.base.self.VM))
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return g.Wait()
}

// interval returns the span between the reports of each of so many agents.
func interval(agents int) mn.Millis {
	return max(reportInterval, mn.Millis(agents)*mn.Second/reportsPerSecond)
}

// match opens the feeds that are missing and stops those no longer wanted.
func (f *feeds) match(ctx context.Context, g *errgroup.Group, wanted []mn.Member) {
	keep := make(map[mn.VMID]mn.Incarnation)
	for _, m := range wanted {
		keep[m.VM] = m.Incarnation
	}
	for vm, o := range f.open {
		if keep[vm] != o.incarnation {
			o.stop()
			delete(f.open, vm)
		}
	}
	for _, m := range wanted {
		if _, ok := f.open[m.VM]; ok {
			continue
		}
		one, stop := context.WithCancel(ctx)
		f.open[m.VM] = openFeed{m.Incarnation, stop}
		g.Go(func() error {
			f.follow(one, m, interval(len(wanted)))
			return nil
		})
	}
}

// follow keeps the feed of m open until ctx is done, with a report each span.
func (f *feeds) follow(ctx context.Context, m mn.Member, span mn.Millis) {
	for ctx.Err() == nil {
		err := f.agents.WatchLoad(ctx, m.Addr, span, func(r *meshpb.LoadReport) {
			report, events := reportOf(r)
			f.table.ApplyReport(m.VM, report, events, r.EventsLost)
			f.report(m.VM, r)
		})
		if ctx.Err() != nil {
			return
		}
		f.table.MarkUnreachable(m.VM)
		f.base.log.WithField("event", "feed_lost").WithField("agent", m.VM).Warn(err)
		_ = f.base.clock.Sleep(ctx, feedPause)
	}
}

// reportOf translates a load report as it came in.
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
