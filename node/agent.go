package node

import (
	"context"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	mn "mustardnotch"
	"mustardnotch/core/order"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/engine"
	"mustardnotch/io/entry"
	"mustardnotch/io/plain"
	"mustardnotch/io/wire"
	"mustardnotch/setup"
)

// Agent is the process that runs next to one endpoint and passes requests to it.
type Agent struct {
	*base
	server   *entry.Server
	queue    *endpointQueue
	gate     *order.Gate
	callSync *callSync
	limits   *rateLimits
}

// NewAgent returns an agent with settings s that logs to log.
func NewAgent(ctx context.Context, s *setup.Settings, log *logrus.Logger) (*Agent, error) {
	b, err := newBase(ctx, s, mn.RoleAgent, log)
	if err != nil {
		return nil, err
	}
	a := &Agent{base: b, limits: newRateLimits(b)}
	a.server = entry.New(a.serverConfig())
	a.config.status = a.queue.status
	a.installGate()
	return a, nil
}

func (a *Agent) serverConfig() entry.Config {
	c := entry.Config{
		VM:          a.self.VM,
		Incarnation: a.self.Incarnation,
		Pool:        a.self.Pool,
		Clock:       a.clock,
		Views:       a.controlState,
		Freshness:   a.config.monitor,
		Guard:       a.config.guard,
		Recorder:    a.recorder,
		Tracer:      a.tracer,
		Log:         a.log,
	}
	if a.settings.Kind == mn.PoolModel {
		a.queue = newEndpointQueue(a.clock, engine.New(a.settings.EndpointURL), a.settings.MaxRunning)
		c.Engine = a.queue
	} else {
		a.queue = newEndpointQueue(a.clock, nil, a.settings.MaxRunning)
		c.Plain = plain.New(a.settings.EndpointURL)
	}
	c.Scheduler = a.queue
	c.LoadReporter = a.queue
	a.configureCalls(&c)
	return c
}

// Run serves until ctx is done. Then it stops accepting requests, waits for the open ones
// for at most DrainTimeout of the settings, and returns nil.
func (a *Agent) Run(ctx context.Context) error {
	ls, err := listenAll(a.settings.PeerAddr, a.settings.DebugAddr)
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := meshpb.DRPCRegisterAgent(mux, a.server); err != nil {
		return err
	}
	if err := a.registerPeer(mux); err != nil {
		return err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, run := errgroup.WithContext(run)
	g.Go(func() error { return wire.Serve(run, ls[0], mux) })
	serveHTTP(run, g, ls[1], a.debugHandler())
	g.Go(func() error { return a.callSync.run(run) })
	g.Go(func() error { return a.followConfig(run) })
	g.Go(func() error { return a.runRecorder(run) })
	g.Go(func() error { return a.limits.run(run) })
	g.Go(func() error { return a.queue.poll(run) })
	g.Go(func() error { return a.runGate(run) })
	g.Go(func() error {
		if err := a.becomeReady(run, g); err != nil {
			return err
		}
		a.ready.Store(true)
		a.log.WithField("event", "ready").WithField("peers", a.settings.PeerAddr).Info()
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			a.leave(run)
		case <-run.Done():
		}
		stop()
		return nil
	})
	return g.Wait()
}

// leave takes the agent out of service without interrupting a request, unless
// DrainTimeout has passed.
func (a *Agent) leave(ctx context.Context) {
	a.leaving.Store(true)
	a.log.WithField("event", "leaving").Info()
	a.server.StopAccepting()
	a.callSync.transferAll(ctx)
	a.appendLeave(ctx, false)
	drain, cancel := context.WithTimeout(ctx, a.settings.DrainTimeout.Duration())
	defer cancel()
	if err := a.server.Drain(drain); err != nil {
		a.log.WithField("event", "drain_incomplete").Warn(err)
	}
	a.callSync.transferLateOutcomes(drain)
	a.flushUsage(drain)
	a.config.stopAnswering()
	a.appendLeave(ctx, true)
	a.log.WithField("event", "left").Info()
	_ = a.spans.Close(drain)
	_ = a.conns.Close()
}
