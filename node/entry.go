package node

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	mn "mustardnotch"
	"mustardnotch/core/poison"
	"mustardnotch/core/retry"
	"mustardnotch/core/route"
	"mustardnotch/io/agent"
	"mustardnotch/io/caller"
	"mustardnotch/io/wire"
	"mustardnotch/setup"
)

// Entry is the process on an entry VM.
type Entry struct {
	*base
	callers *http.Server
	table   *route.Table
	agents  *agent.Client
	poisons *poison.Tracker
	control *control
	limits  *limits
}

// NewEntry returns an entry with settings s that logs to log.
func NewEntry(ctx context.Context, s *setup.Settings, log *logrus.Logger) (*Entry, error) {
	b, err := newBase(ctx, s, mn.RoleEntry, log)
	if err != nil {
		return nil, err
	}
	routing := route.DefaultSettings(s.DataCentre)
	routing.Policy = route.Policy(s.Router)
	agents := agent.New(b.conns)
	poisons := newTracker(b)
	b.config.alarmed = poisons.Add
	return &Entry{
		base:    b,
		poisons: poisons,
		table:   route.New(b.clock, b.fold, routing),
		agents:  agents,
		control: newControl(b, agents),
		limits:  newLimits(b),
	}, nil
}

// Run serves until ctx is done, then leaves gracefully: it stops new work,
// lets open requests end, and returns nil.
func (e *Entry) Run(ctx context.Context) error {
	s := e.settings
	ls, err := listenAll(s.CallerAddr, s.OperatorAddr, s.PeerAddr, s.DebugAddr)
	if err != nil {
		return err
	}
	peers := drpcmux.New()
	if err := e.registerPeer(peers); err != nil {
		return err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, run := errgroup.WithContext(run)

	mux := http.NewServeMux()
	mux.Handle(e.serving().Handler())
	e.callers = serveHTTP(run, g, ls[0], mux)
	serveHTTP(run, g, ls[3], e.debugHandler())
	serveHTTP(run, g, ls[1], e.operatorHandler())
	g.Go(func() error { return wire.Serve(run, ls[2], peers) })
	g.Go(func() error { return e.follow(run) })
	g.Go(func() error { return e.limits.run(run) })
	g.Go(func() error { return e.record(run) })
	g.Go(func() error { return e.bill(run, e.control.elector) })
	g.Go(func() error { return newFeeds(e.base, e.table, e.agents, e.control.report).run(run) })
	g.Go(func() error { return e.control.run(run) })
	g.Go(func() error {
		if err := e.becomeReady(run, g); err != nil {
			return err
		}
		e.limits.await(run)
		e.ready.Store(true)
		e.log.WithField("event", "ready").WithField("callers", s.CallerAddr).Info()
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			e.leave(run)
		case <-run.Done():
		}
		stop()
		return nil
	})
	return g.Wait()
}

// leave takes the entry out of service without cutting a request.
func (e *Entry) leave(ctx context.Context) {
	e.leaving.Store(true)
	e.log.WithField("event", "leaving").Info()
	e.control.stop(ctx)
	e.depart(ctx, false)
	_ = e.clock.Sleep(ctx, grace)
	drain, cancel := context.WithTimeout(ctx, e.settings.DrainTimeout.Duration())
	defer cancel()
	if err := e.callers.Shutdown(drain); err != nil {
		e.log.WithField("event", "drain_incomplete").Warn(err)
	}
	e.flushUsage(drain)
	e.config.retire()
	e.depart(ctx, true)
	e.log.WithField("event", "left").Info()
	_ = e.spans.Close(drain)
	_ = e.conns.Close()
}

func (e *Entry) serving() *caller.Server {
	return caller.New(caller.Config{
		VM:           e.self.VM,
		Clock:        e.clock,
		Views:        e.fold,
		Freshness:    e.config.monitor,
		Guard:        e.config.guard,
		Limiter:      e.limits.book,
		Router:       e.table,
		Recorder:     e.recorder,
		Agents:       e.agents,
		RetryBudget:  retry.New(retry.DefaultConfig(), e.clock),
		Crashes:      e.poisons,
		NotifyCrash:  e.alarm,
		Tracer:       e.tracer,
		Log:          e.log,
		MaxBodyBytes: e.settings.MaxBodyBytes,
		Draining:     func() bool { return false },
	})
}
