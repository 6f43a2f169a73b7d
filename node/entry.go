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

// Entry is the process on an entry VM, which accepts callers' Connect requests.
type Entry struct {
	*base
	callerServer *http.Server
	table        *route.Table
	agents       *agent.Client
	crashTracker *poison.Tracker
	control      *controller
	limits       *rateLimits
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
	tracker := newCrashTracker(b)
	b.config.onCrash = tracker.Add
	return &Entry{
		base:         b,
		crashTracker: tracker,
		table:        route.New(b.clock, b.controlState, routing),
		agents:       agents,
		control:      newController(b, agents),
		limits:       newRateLimits(b),
	}, nil
}

// Run serves until ctx is done. Then it stops accepting requests, waits for the open ones
// for at most DrainTimeout of the settings, and returns nil.
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
	mux.Handle(e.newCallerServer().Handler())
	e.callerServer = serveHTTP(run, g, ls[0], mux)
	serveHTTP(run, g, ls[3], e.debugHandler())
	serveHTTP(run, g, ls[1], e.operatorHandler())
	g.Go(func() error { return wire.Serve(run, ls[2], peers) })
	g.Go(func() error { return e.followConfig(run) })
	g.Go(func() error { return e.limits.run(run) })
	g.Go(func() error { return e.runRecorder(run) })
	g.Go(func() error { return e.runBiller(run, e.control.elector) })
	g.Go(func() error { return newLoadWatcher(e.base, e.table, e.agents, e.control.recordLoad).run(run) })
	g.Go(func() error { return e.control.run(run) })
	g.Go(func() error {
		if err := e.becomeReady(run, g); err != nil {
			return err
		}
		e.limits.awaitShare(run)
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

// leave takes the entry out of service without interrupting a request, unless
// DrainTimeout has passed. It still accepts requests for entryLameDuckPeriod.
func (e *Entry) leave(ctx context.Context) {
	e.leaving.Store(true)
	e.log.WithField("event", "leaving").Info()
	e.control.stop(ctx)
	e.appendLeave(ctx, false)
	_ = e.clock.Sleep(ctx, entryLameDuckPeriod)
	drain, cancel := context.WithTimeout(ctx, e.settings.DrainTimeout.Duration())
	defer cancel()
	if err := e.callerServer.Shutdown(drain); err != nil {
		e.log.WithField("event", "drain_incomplete").Warn(err)
	}
	e.flushUsage(drain)
	e.config.stopAnswering()
	e.appendLeave(ctx, true)
	e.log.WithField("event", "left").Info()
	_ = e.spans.Close(drain)
	_ = e.conns.Close()
}

func (e *Entry) newCallerServer() *caller.Server {
	return caller.New(caller.Config{
		VM:           e.self.VM,
		Clock:        e.clock,
		Views:        e.controlState,
		Freshness:    e.config.monitor,
		Guard:        e.config.guard,
		Limiter:      e.limits.ledger,
		Router:       e.table,
		Recorder:     e.recorder,
		Agents:       e.agents,
		RetryBudget:  retry.New(retry.DefaultConfig(), e.clock),
		CrashTracker: e.crashTracker,
		NotifyCrash:  e.notifyCrash,
		Tracer:       e.tracer,
		Log:          e.log,
		MaxBodyBytes: e.settings.MaxBodyBytes,
		Leaving:      func() bool { return false },
	})
}
