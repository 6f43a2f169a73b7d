// Package node assembles the processes of the system (entry, agent and front) from their
// parts, and runs the goroutines of each as one group that stops together.
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
	// entryLameDuckPeriod is how long a leaving entry still accepts requests, so that the
	// load balancer can take it out of rotation first.
	entryLameDuckPeriod = 1500 * mn.Millisecond
	// joinRetryInterval is how long a joining process waits for a change of its view before
	// it appends its record again.
	joinRetryInterval = 1 * mn.Second
	// retryPause is the pause after a failed call to the platform, and between
	// checks whether the rate shares are ready.
	retryPause = 200 * mn.Millisecond
	// leaveTimeout limits each append of a record that the process is leaving, and
	// the flush of its usage.
	leaveTimeout = 3 * mn.Second
)

// base holds the parts that entries and agents have in common.
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

// join appends a record that adds the process to the roster, and waits until the process
// has applied it. It returns nil if ctx is done before that.
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
		b.awaitChange(ctx, joinRetryInterval)
	}
	return nil
}

// awaitChange waits until the view changes, limit has passed or ctx is done.
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

// append appends r to the control stream.
func (b *base) append(ctx context.Context, r *mn.Record) error {
	data, err := mn.EncodeRecord(r)
	if err != nil {
		return err
	}
	_, err = b.platform.Append(ctx, mn.ControlStream, data)
	return err
}

// appendLeave appends a record that the process is leaving or, with done set, that it has
// left.
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

// serveHTTP serves h on l over HTTP/1 and unencrypted HTTP/2 until ctx is done.
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

// debugHandler returns the handler of metrics, profiles, liveness, and readiness for the
// load balancer.
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

// listenAll opens a listener for each address. If one fails, it closes the others.
func listenAll(addrs ...string) ([]net.Listener, error) {
	var all []net.Listener
	for _, a := range addrs {
		l, err := listen(a)
		if err != nil {
			closeAll(all)
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}

func closeAll(ls []net.Listener) {
	for _, l := range ls {
		l.Close()
	}
}
