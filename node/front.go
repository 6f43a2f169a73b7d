package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
	"mustardnotch/core/duty"
	"mustardnotch/core/leave"
	"mustardnotch/core/place"
	"mustardnotch/core/poison"
	"mustardnotch/core/quota"
	"mustardnotch/core/rendez"
	"mustardnotch/core/retry"
	"mustardnotch/core/shed"
	"mustardnotch/core/stats"
	"mustardnotch/io/accept"
	"mustardnotch/io/back"
	"mustardnotch/io/front"
	"mustardnotch/io/gossip"
	"mustardnotch/io/wire"
	"mustardnotch/setup"
)

const (
	// memoryShare is the share of the process's memory limit that is set as the Go
	// runtime's soft memory limit, less what the kernel may hold for callers. Near that limit
	// the garbage collector runs more often.
	memoryShare = 0.7
	// frontLameDuckPeriod is how long a leaving front still accepts connections. The
	// platform checks readiness once a second and takes a front out of service after
	// two failed checks.
	frontLameDuckPeriod = 2600 * mn.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit after
	// requests were drained, at most a ninth of the period.
	exitMargin       = 700 * mn.Millisecond
	exitMarginShares = 9
	// answerMargin is the part of the grace period before exitMargin in which nothing runs any
	// more and the last answers reach their callers, at most an eighteenth. The platform excuses
	// what is cut in the last sixth.
	answerMargin       = 300 * mn.Millisecond
	answerMarginShares = 18
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time in which a request's headers must arrive.
	headerTimeout = 5 * mn.Second
	// callerIdleTimeout is how long a caller's idle connection is kept open. It is
	// longer than the limit in any configuration, which callers apply themselves.
	callerIdleTimeout = 60 * mn.Second
	// A request whose content was part of crashThreshold endpoint crashes within
	// crashTTL is rejected. Endpoints also crash for other reasons while each runs
	// tens of requests, so two crashes are weak evidence.
	crashThreshold = 3
	crashTTL       = 60 * mn.Second
	// maxSuspects bounds the number of suspected contents that are tracked,
	// each of which takes about 200 bytes.
	maxSuspects = 10_000
	// settingsInterval is the time between two reads of the settings.
	settingsInterval = 5 * mn.Second
	// retryBudgetShare is the share of the fronts' common retry budget that they use.
	// The rest covers prompts that are prefilled twice and fronts that restart with
	// new budgets.
	retryBudgetShare = 0.5
)

const (
	// textShare is the share of the process's memory limit that endpoints' answers may take, and
	// likewise the bodies of callers' requests. One endpoint gets endpointShare of it, one
	// customer customerShare. The rest is for state, connections and what the garbage collector
	// has not freed yet.
	textShare     = 0.125
	endpointShare = 0.25
	customerShare = 0.5
	// headShare is the share of the memory limit that heads of requests may take beyond what
	// each has anyway.
	headShare = 0.05
	// cacheShare is the share of the memory limit for the ids of the prompt segments that engines
	// have cached.
	cacheShare = 0.1
	// maxServiceConns is the maximum number of connections for readiness checks, and likewise
	// for metrics.
	maxServiceConns = 32
	// defaultPartMemory is the memory for each purpose if the process has no memory limit, in
	// bytes.
	defaultPartMemory = 32 << 20
)

// textMemory returns a budget for what others send, of which one holder gets the given share.
func textMemory(limitMB int64, holderShare float64) *alloc.Budget {
	return memoryBudget(textShare, limitMB, holderShare)
}

// memoryBudget returns a budget of a share of the process's memory limit, of which one holder
// gets the given share.
func memoryBudget(share float64, limitMB int64, holderShare float64) *alloc.Budget {
	total := partMemory(share, limitMB)
	return alloc.New(total, int64(holderShare*float64(total)))
}

// partMemory returns a share of the process's memory limit in bytes.
func partMemory(share float64, limitMB int64) int64 {
	if limitMB <= 0 {
		return defaultPartMemory
	}
	return int64(share * float64(limitMB<<20))
}

// Platform holds the services of the users' platform that a front uses.
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
	startedAt    mn.Millis
	stats        *stats.Set
	view         *frontView
	balancer     *place.Balancer
	queues       *place.Queues
	limiter      *quota.Limiter
	crashTracker *poison.Tracker
	// segments finds prompt segments that crash engines.
	segments  *poison.SegmentTracker
	runs      *duty.RunCounter
	holder    *duty.Holder
	back      *back.Client
	gossip    *gossip.Client
	peers     *peerSet
	departure *leave.Departure
	// fetchingCatalog and fetchingList report whether a catalog or a list of endpoints is
	// being fetched from a peer front.
	fetchingCatalog, fetchingList atomic.Bool

	crashNotices *crashList
	// wantsRuns is the last result of needsRuns.
	wantsRuns atomic.Bool
	// decoding is held while an engine's list of cached prompts is decoded.
	decoding sync.Mutex
	// reload receives a value when the settings may have changed.
	reload <-chan struct{}
}

// NewFront returns a front with settings s on a platform. It calls readSettings for
// the current settings when it receives from reload, and at regular intervals.
func NewFront(s *setup.Front, p Platform, log *logrus.Logger, reload <-chan struct{}, readSettings func() (*setup.Front, error)) *Front {
	clock := mn.NewSystemClock()
	self := mn.Front{
		VM: s.VM, Incarnation: mn.NewIncarnation(), DataCentre: s.DataCentre,
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
	}
	disabled, err := place.ParseFeatures(s.DisabledFeatures)
	if err != nil {
		panic(err) // Settings are validated before.
	}
	peers := newPeerSet(self)
	f := &Front{
		platform: p, clock: clock, self: self, startedAt: clock.Now(), reload: reload, readSettings: readSettings,
		log:   log.WithFields(logrus.Fields{"vm": s.VM, "role": "front"}),
		stats: stats.New(),
		balancer: place.New(place.Config{DataCentre: s.DataCentre, Self: s.VM, Fronts: peers.registered,
			CacheMemory: partMemory(cacheShare, s.MemoryMB), Naive: s.Router == "naive", Disabled: disabled}, clock),
		limiter:      quota.New(quota.Tolerance{Window: s.QuotaWindow, Share: s.QuotaTolerance, Slack: s.QuotaSlack}, clock),
		crashTracker: poison.New(poison.Config{CrashThreshold: crashThreshold, TTL: crashTTL, MaxSuspects: maxSuspects}, clock),
		segments:     poison.NewSegmentTracker(clock),
		runs:         duty.NewRunCounter(s.UsageWindow, s.UsageReportWithin, clock),
		holder:       duty.New(s.VM, self.Incarnation, s.DutyLease, clock),
		peers:        peers,
		crashNotices: &crashList{clock: clock},
		departure:    leave.New(),
	}
	f.settings.Store(s)
	f.back = back.New(clock, s.IP, textMemory(s.MemoryMB, endpointShare), f)
	f.queues = place.NewQueues(f.balancer, clock)
	f.view = newFrontView(f)
	f.gossip = gossip.NewClient(f, clock, self.Addr)
	return f
}

// Run serves until ctx is done, then leaves gracefully.
func (f *Front) Run(ctx context.Context) error {
	s := f.conf()
	limits := shed.NewLimits(s.MemoryMB, s.MaxFDs)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare*float64(s.MemoryMB<<20)) - limits.KernelMemory())
	}
	ls, err := f.listen(limits.Backlog)
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
	callerListener := f.newListener(ls.callers, "conns", limits.Conns)
	callers := newDrainServer(f.clock, callerListener, &http.Server{
		Handler:           f.callerHandler(callerListener),
		ConnState:         callerListener.ConnState,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       callerIdleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       front.ConnContext,
	})
	g.Go(callers.serve)
	serveHTTP(run, g, f.newListener(ls.readiness, "ready_conns", maxServiceConns), http.HandlerFunc(f.serveReady))
	g.Go(func() error { return wire.Serve(run, ls.peers, peers) })
	serveHTTP(run, g, f.newListener(ls.metrics, "metrics_conns", maxServiceConns), f.stats)
	g.Go(func() error { return f.view.followCatalog(run) })
	g.Go(func() error { return f.view.followEndpoints(run) })
	g.Go(func() error { return f.followFronts(run) })
	g.Go(func() error { return f.exchangeWithPeers(run) })
	g.Go(func() error { return f.askPeers(run) })
	g.Go(func() error { return f.learnCached(run) })
	g.Go(func() error { return f.performDuties(run) })
	g.Go(func() error { return f.storeRuns(run) })
	g.Go(func() error { return f.storeCrashes(run) })
	g.Go(func() error { return f.watchSettings(run) })
	g.Go(func() error { return f.logEngines(run) })
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

// frontListeners are the listeners of a front.
type frontListeners struct {
	callers, readiness, metrics *net.TCPListener
	peers                       net.Listener
}

// listen opens the front's listeners, that of the callers with the given backlog.
func (f *Front) listen(backlog int) (*frontListeners, error) {
	s := f.conf()
	ls := &frontListeners{}
	var opened []net.Listener
	for _, bounded := range []struct {
		l       **net.TCPListener
		addr    string
		backlog int
	}{
		{&ls.callers, s.CallerAddr, backlog},
		{&ls.readiness, s.ReadinessAddr, maxServiceConns},
		{&ls.metrics, net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)), maxServiceConns},
	} {
		l, err := accept.Listen(bounded.addr, bounded.backlog)
		if err != nil {
			closeAll(opened)
			return nil, mn.Errorf(mn.BadSetting, "listen on %s: %w", bounded.addr, err)
		}
		*bounded.l, opened = l, append(opened, l)
	}
	var err error
	if ls.peers, err = listen(f.self.Addr); err != nil {
		closeAll(opened)
		return nil, err
	}
	return ls, nil
}

// leaveTimes returns when the last requests end and when the process exits, if it begins to
// leave at start. Requests run for most of the grace period, however short it is.
func leaveTimes(start, grace mn.Millis) (endAt, exitAt mn.Millis) {
	exitAt = start + grace - min(exitMargin, grace/exitMarginShares)
	return exitAt - min(answerMargin, grace/answerMarginShares), exitAt
}

// leave takes the front out of service. It lets running requests finish as long as
// the grace period allows, and answers those that can't.
func (f *Front) leave(ctx context.Context, callers *drainServer) {
	start := f.clock.Now()
	lameDuckEnd := start + min(frontLameDuckPeriod, f.conf().GracePeriod/2)
	endAt, exitAt := leaveTimes(start, f.conf().GracePeriod)
	f.departure.Begin(lameDuckEnd, endAt)
	f.holder.Resign()
	f.log.WithField("event", "leaving").Info()
	_ = f.clock.Sleep(ctx, lameDuckEnd-start)
	drain, cancel := context.WithTimeout(ctx, (exitAt - f.clock.Now()).Duration())
	defer cancel()
	defer time.AfterFunc((endAt - f.clock.Now()).Duration(), f.departure.End).Stop()
	if err := callers.drain(drain); err != nil {
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

// serveReady answers the readiness checks of the platform's load balancer. A front
// is not ready while it has no catalog or no list of endpoints, while its catalog is
// too old to accept keys, and once it is leaving.
func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if f.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (f *Front) ready() bool {
	table, age := f.view.Table()
	_, listedAt := f.view.listed()
	return table != nil && listedAt > 0 && !f.departure.Leaving() && f.view.KeysFresh(age)
}

// callerHandler returns the handler of callers' requests.
func (f *Front) callerHandler(l *accept.Listener) http.Handler {
	bodies := textMemory(f.conf().MemoryMB, customerShare)
	bodies.SetReclaim(l.ReclaimBody)
	c := retry.PoolBudgetsConfig{
		Ratio:  f.conf().RetryRatio * retryBudgetShare,
		Slack:  f.conf().RetrySlack * retryBudgetShare,
		Window: f.conf().RetryWindow,
		Fronts: func() int { return max(minFronts, f.peers.count()) },
	}
	return front.New(front.Config{
		Clock: f.clock, Dialect: f.platform.Dialect, View: f.view, Queues: f.queues, Balancer: f.balancer,
		Limiter: f.limiter, RetryBudgets: retry.NewPoolBudgets(c, f.clock), CrashTracker: f.crashTracker, Runs: f.runs, Back: f.back,
		Stats: f.stats, Log: f.log, ApplyWithin: f.conf().ApplyWithin, Departure: f.departure, RequestMemory: bodies,
		OnCrash: f.crashNotices.add, MaxIdleConns: f.maxIdleConns,
		Segments: f.segments, SegmentRank: f.segmentRank,
	})
}

// newListener returns a listener that bounds what the callers at l take.
func (f *Front) newListener(l *net.TCPListener, name string, maxConns int) *accept.Listener {
	return accept.New(l, accept.Config{
		Clock: f.clock, Stats: f.stats, Log: f.log, Name: name, MaxConns: maxConns, HeadMemory: memoryBudget(headShare, f.conf().MemoryMB, 1),
		Refusal: front.HeadRefusal(),
	})
}

// segmentRank returns this front's rank among the fronts that are alive for trials of a
// prompt segment.
func (f *Front) segmentRank(segment string) int {
	alive := f.alive()
	return slices.Index(rendez.Top(segment, alive, len(alive)), f.self.VM)
}

// idleConnShare is the share of the connections that an endpoint accepts which all
// fronts together may keep idle. The rest is for running requests.
const idleConnShare = 0.5

// maxIdleConns returns how many idle connections this front keeps to an endpoint of
// the pool, 0 if the pool does not declare how many an endpoint accepts.
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

// minFronts is the smallest number of fronts by which the slack of the retry budget
// is divided. It applies while a front knows few of its peers: the users'
// deployments have five or more fronts.
const minFronts = 5

// ignoreClosed returns nil if err means that the callers' HTTP server was shut down,
// and otherwise wraps err.
func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return fmt.Errorf("serve callers: %w", err)
}

// conf returns the current settings.
func (f *Front) conf() *setup.Front { return f.settings.Load() }

// watchSettings reads the settings again on a signal, and at regular intervals
// because they may change without a signal.
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

// reloadSettings applies changed settings. The process's identity and its addresses
// stay as they are until it restarts. Invalid settings change nothing.
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
			log.Info("settings unchanged")
		}
		return
	}
	f.settings.Store(&merged)
	log.WithFields(logrus.Fields{"changed": merged != *old, "needs_restart": restart}).Info()
}
