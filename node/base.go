// Package node assembles the system's processes, entry and agent, from their
// parts, and runs each as one group that stops together.
package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/spans"
	"mustardnotch/core/usage"
	"mustardnotch/io/plat"
	"mustardnotch/io/wire"
	"mustardnotch/setup"
)

const (
	// leaveGrace is how long a leaving entry still takes work, so that the balancer
	// can see it leave first.
	leaveGrace = 1500 * mn.Millisecond
	// readWait is how long a read of the log waits for a new record.
	readWait = 1 * mn.Second
	// retryPause is the pause after a failed call to the platform.
	retryPause = 200 * mn.Millisecond
	// leaveTimeout bounds what a leaving process still does once drained.
	leaveTimeout = 3 * mn.Second
)

// base is what entries and agents have in common.
type base struct {
	settings     *setup.Settings
	self         mn.Member
	clock        mn.Clock
	log          *logrus.Entry
	platform     *plat.Client
	controlState *conf.StateMachine
	config       *configFollower
	recorder     *usage.Recorder
	conns        *wire.ConnPool
	spans        *spans.Provider
	tracer       trace.Tracer
	ready        atomic.Bool
	leaving      atomic.Bool
	startedAt    mn.Millis
}

func newBase(ctx context.Context, s *setup.Settings, role mn.Role, log *logrus.Logger) (*base, error) {
	sp, err := spans.New(ctx, s.TraceExporter, s.TraceOutput, s.VM)
	if err != nil {
		return nil, err
	}
	clock := mn.NewSystemClock()
	b := &base{
		settings: s,
		self: mn.Member{
			VM:          s.VM,
			Incarnation: mn.NewIncarnation(),
			Role:        role,
			Addr:        s.AdvertisedAddr,
			DataCentre:  s.DataCentre,
			Pool:        s.Pool,
		},
		clock:        clock,
		log:          log.WithFields(logrus.Fields{"vm": s.VM, "role": role}),
		platform:     plat.New(s.PlatformURL),
		controlState: conf.New(),
		conns:        wire.NewConnPool(s.PeerAddr),
		spans:        sp,
		tracer:       sp.Tracer("mustardnotch"),
		startedAt:    clock.Now(),
	}
	b.config = newConfigFollower(b)
	b.recorder = usage.NewRecorder(s.VM, b.platform, clock)
	return b, nil
}

// join appends the process to the roster and waits until the fold has it.
func (b *base) join(ctx context.Context) error {
	id := mn.NewRecordID()
	for ctx.Err() == nil {
		if b.controlState.View().Roster[b.self.VM].Incarnation == b.self.Incarnation {
			return nil
		}
		rec := &mn.Record{Version: mn.RecordVersion, ID: id, Writer: b.self.VM, Join: &b.self}
		if err := b.append(ctx, rec); err != nil {
			b.log.WithField("event", "join_failed").Warn(err)
			_ = b.clock.Sleep(ctx, retryPause)
			continue
		}
		b.awaitChange(ctx, readWait)
	}
	return nil
}

func (b *base) awaitChange(ctx context.Context, limit mn.Millis) {
	changed := b.controlState.Changed()
	t := time.NewTimer(limit.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

func (b *base) append(ctx context.Context, r *mn.Record) error {
	data, err := mn.EncodeRecord(r)
	if err != nil {
		return err
	}
	_, err = b.platform.Append(ctx, mn.ControlStream, data)
	return err
}

// appendLeave appends that the process stops new work, or with done that it left.
func (b *base) appendLeave(ctx context.Context, done bool) {
	rec := &mn.Record{
		Version: mn.RecordVersion,
		ID:      mn.NewRecordID(),
		Writer:  b.self.VM,
		Leave:   &mn.Departure{VM: b.self.VM, Incarnation: b.self.Incarnation, Done: done},
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout.Duration())
	defer cancel()
	if err := b.append(ctx, rec); err != nil {
		b.log.WithField("event", "depart_failed").WithField("done", done).Warn(err)
	}
}

// serveHTTP serves h on l, with and without TLS-less HTTP/2, until ctx is done.
func serveHTTP(ctx context.Context, g *errgroup.Group, l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: (10 * mn.Second).Duration(), Protocols: new(http.Protocols)}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	return srv
}

// debugHandler serves metrics, profiles, readiness for the balancer, and liveness.
func (b *base) debugHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "live=true uptime_ms=%d\n", b.clock.Now()-b.startedAt)
	})
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		current := b.config.monitor.CheckCurrent() == nil
		if !b.ready.Load() || b.leaving.Load() || !current {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintf(w, "ready=%t leaving=%t current=%t offset=%d\n", b.ready.Load(), b.leaving.Load(), current, b.controlState.View().Offset)
	})
	return mux
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, mn.Errorf(mn.BadSetting, "listen on %s: %w", addr, err)
	}
	return l, nil
}

// listenAll opens one listener for each address, or none.
func listenAll(addrs ...string) ([]net.Listener, error) {
	var all []net.Listener
	for _, a := range addrs {
		l, err := listen(a)
		if err != nil {
			for _, o := range all {
				o.Close()
			}
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}
