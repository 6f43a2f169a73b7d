package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	mn "mustardnotch"
	"mustardnotch/core/duty"
	"mustardnotch/core/place"
	"mustardnotch/core/poison"
	"mustardnotch/core/quota"
	"mustardnotch/core/retry"
	"mustardnotch/core/stats"
	"mustardnotch/io/back"
	"mustardnotch/io/front"
	"mustardnotch/io/gossip"
	"mustardnotch/io/wire"
	"mustardnotch/setup"
)

const (
	// memoryShare is the part of a process's memory at which Go collects harder.
	memoryShare = 0.7
	// lameDuckPeriod is how long a leaving front still takes connections: the
	// platform asks once a second and takes a front out after two misses.
	lameDuckPeriod = 2600 * mn.Millisecond
	// exitMargin is kept from the time that a leaving process has.
	exitMargin = 700 * mn.Millisecond
	// maxHeaderBytes bounds a request's headers before a configuration does.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time for a request's headers.
	headerTimeout = 5 * mn.Second
	// callerIdleTimeout is how long idle callers' connections are kept: longer than any
	// configuration's limit, which callers keep by themselves.
	callerIdleTimeout = 60 * mn.Second
	// maxPoisonCrashes is how many endpoints a request may crash, poisonTTL how long
	// a crash counts: endpoints also crash by themselves, with tens of requests on
	// each, so that two crashes show little.
	maxPoisonCrashes = 3
	poisonTTL        = 60 * mn.Second
	// maxPoisonSuspects bounds the contents remembered, of some 200 bytes each.
	maxPoisonSuspects = 10_000
	// settingsInterval is the time between looks at the settings.
	settingsInterval = 5 * mn.Second
	// retryBudgetShare is the part of the shared retry budget that is given out; the
	// rest covers prompts that are read twice and fronts that start anew.
	retryBudgetShare = 0.5
)

// Platform is what a front needs of the users' platform.
type Platform struct {
	Store   mn.Store
	Duties  mn.Duties
	Dialect mn.Dialect
}

// Front is the process that serves callers' HTTP requests.
type Front struct {
	settings     atomic.Pointer[setup.Front]
	readSettings func() (*setup.Front, error)
	platform     Platform
	clock        mn.Clock
	log          *logrus.Entry
	self         mn.Front
	// startedAt is when the process started, by its own clock.
	startedAt mn.Millis
	stats     *stats.Set
	view      *frontView
	balancer  *place.Balancer
	queues    *place.Queues
	limiter   *quota.Limiter
	crashes   *poison.Tracker
	runs      *duty.RunCounter
	holder    *duty.Holder
	back      *back.Client
	gossip    *gossip.Client
	peers     *peerSet
	leaving   atomic.Bool
	// fetching says that something is being fetched from another front.
	fetching     atomic.Bool
	crashNotices *crashList
	// reload asks for the settings file to be read again.
	reload <-chan struct{}
}

// NewFront returns a front with settings s on a platform. A message on reload
// says that the settings may have changed; read returns them as they are.
func NewFront(s *setup.Front, p Platform, log *logrus.Logger, reload <-chan struct{}, readSettings func() (*setup.Front, error)) *Front {
	clock := mn.NewSystemClock()
	self := mn.Front{
		VM: s.VM, Incarnation: mn.NewIncarnation(), DataCentre: s.DataCentre,
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
	}
	disabled, err := place.ParseFeatures(s.DisabledFeatures)
	if err != nil {
		panic(err) // checked with the settings
	}
	f := &Front{
		platform: p, clock: clock, self: self, startedAt: clock.Now(), reload: reload, readSettings: readSettings,
		log:          log.WithFields(logrus.Fields{"vm": s.VM, "role": "front"}),
		stats:        stats.New(),
		balancer:     place.New(place.Config{DataCentre: s.DataCentre, Naive: s.Router == "naive", Disabled: disabled}, clock),
		limiter:      quota.New(quota.Tolerance{Window: s.QuotaWindow, Share: s.QuotaTolerance, Slack: s.QuotaSlack}, clock),
		crashes:      poison.New(poison.Config{MaxCrashes: maxPoisonCrashes, TTL: poisonTTL, MaxSuspects: maxPoisonSuspects}, clock),
		runs:         duty.NewRunCounter(s.UsageWindow, s.UsageReportWithin, clock),
		holder:       duty.New(s.VM, self.Incarnation, s.HolderLease, clock),
		back:         back.New(clock, s.IP),
		peers:        newPeerSet(self),
		crashNotices: &crashList{clock: clock},
	}
	f.settings.Store(s)
	f.queues = place.NewQueues(f.balancer, clock)
	f.view = newFrontView(f)
	f.gossip = gossip.NewClient(f, clock, self.Addr)
	return f
}

// Run serves until ctx is done, then leaves gracefully.
func (f *Front) Run(ctx context.Context) error {
	s := f.conf()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	}
	ls, err := listenAll(s.CallerAddr, s.ReadinessAddr, f.self.Addr, net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)))
	if err != nil {
		return err
	}
	f.log.WithFields(logrus.Fields{"event": "start", "incarnation": f.self.Incarnation, "callers": s.CallerAddr, "peers": f.self.Addr, "file": s.File}).Info()
	peers := drpcmux.New()
	if err := gossip.NewServer(f).Register(peers); err != nil {
		return err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, run := errgroup.WithContext(run)
	callers := &http.Server{
		Handler:           f.callerHandler(),
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       callerIdleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	g.Go(func() error { return ignoreClosed(callers.Serve(ls[0])) })
	serveHTTP(run, g, ls[1], http.HandlerFunc(f.serveReady))
	g.Go(func() error { return wire.Serve(run, ls[2], peers) })
	serveHTTP(run, g, ls[3], f.stats)
	g.Go(func() error { return f.view.followCatalog(run) })
	g.Go(func() error { return f.view.followEndpoints(run) })
	g.Go(func() error { return f.followFronts(run) })
	g.Go(func() error { return f.exchangeWithPeers(run) })
	g.Go(func() error { return f.learnCached(run) })
	g.Go(func() error { return f.performDuties(run) })
	g.Go(func() error { return f.storeRuns(run) })
	g.Go(func() error { return f.watchSettings(run) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			f.leave(run, callers)
		case <-run.Done():
		}
		stop()
		return nil
	})
	return g.Wait()
}

// leave takes the front out of service without cutting a request.
func (f *Front) leave(ctx context.Context, callers *http.Server) {
	start := f.clock.Now()
	f.leaving.Store(true)
	f.holder.Resign()
	f.log.WithField("event", "leaving").Info()
	_ = f.clock.Sleep(ctx, min(lameDuckPeriod, f.conf().GracePeriod/2))
	left := f.conf().GracePeriod - exitMargin - (f.clock.Now() - start)
	drain, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	if err := callers.Shutdown(drain); err != nil {
		f.log.WithField("event", "drain_incomplete").Warn(err)
	}
	if _, err := f.platform.Store.Put(drain, mn.FrontFeed, string(f.self.VM), nil, -1); err != nil {
		f.log.WithField("event", "depart_failed").Warn(err)
	}
	f.back.Close()
	if err := f.gossip.Close(); err != nil {
		f.log.WithField("event", "close_failed").Warn(err)
	}
	f.log.WithField("event", "left").Info()
}

// serveReady answers the balancer. A front that knows no configuration, or that
// must soon refuse keys, is not ready.
func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if f.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (f *Front) ready() bool {
	table, _ := f.view.Table()
	_, listedAt := f.view.listed()
	return table != nil && listedAt > 0 && !f.leaving.Load() && f.view.KeysFresh()
}

func (f *Front) callerHandler() http.Handler {
	c := retry.PoolBudgetsConfig{
		Ratio:  f.conf().RetryRatio * retryBudgetShare,
		Slack:  f.conf().RetrySlack * retryBudgetShare,
		Window: f.conf().RetryWindow,
		Fronts: func() int { return max(minFronts, f.peers.count()) },
	}
	return front.New(front.Config{
		Clock: f.clock, Dialect: f.platform.Dialect, View: f.view, Queues: f.queues, Balancer: f.balancer,
		Limiter: f.limiter, Budget: retry.NewPoolBudgets(c, f.clock), Crashes: f.crashes, Runs: f.runs, Back: f.back,
		Stats: f.stats, Log: f.log, ApplyWithin: f.conf().ApplyWithin, Leaving: f.leaving.Load,
		OnCrash: f.crashNotices.add, MaxIdleConns: f.maxIdleConns,
	})
}

// idleConnShare is the part of an endpoint's connections that all fronts together
// may keep idle; the rest is for requests that run.
const idleConnShare = 0.5

// maxIdleConns returns how many idle connections this front keeps to an endpoint of
// the pool, 0 where the pool does not say how many an endpoint accepts.
func (f *Front) maxIdleConns(pool mn.PoolID) int {
	table, _ := f.view.Table()
	if table == nil {
		return 1
	}
	maxConns := table.Catalog.Pools[pool].MaxConns
	if maxConns <= 0 {
		return 0
	}
	return max(1, int(idleConnShare*float64(maxConns)/float64(f.peers.count())))
}

// minFronts divides the slack of the retry budget while a front knows few
// others: the users' deployments have five or more.
const minFronts = 5

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return fmt.Errorf("serving callers: %w", err)
}

// conf returns the settings in force.
func (f *Front) conf() *setup.Front { return f.settings.Load() }

// watchSettings reads the settings again on a signal, and now and then, since
// they may change without one.
func (f *Front) watchSettings(ctx context.Context) error {
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-f.reload:
			signalled = true
		case <-time.After(settingsInterval.Duration()):
		}
		f.reloadSettings(signalled)
	}
}

// reloadSettings puts changed settings in force. The process's identity and its
// addresses stay as they were until it starts again, and so does everything if
// the settings are wrong.
func (f *Front) reloadSettings(signalled bool) {
	old := f.conf()
	next, err := f.readSettings()
	log := f.log.WithFields(logrus.Fields{"event": "reload", "file": old.File, "signalled": signalled})
	if err != nil {
		log.Error(err)
		return
	}
	restart := next.WithBounds(*old) != *old
	merged := old.WithBounds(*next)
	if merged == *old && !restart {
		if signalled {
			log.Info("nothing has changed")
		}
		return
	}
	f.settings.Store(&merged)
	log.WithFields(logrus.Fields{"changed": merged != *old, "needs_restart": restart}).Info()
}
