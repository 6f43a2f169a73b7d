package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/core/evac"
	"mustardnotch/core/relay"
	"mustardnotch/io/gossip"
)

const (
	// exchangeIntervalPerFront is multiplied by the number of fronts to get the time
	// between two exchanges with the same peer, so that the number of states that a
	// front receives in a second does not grow with the number of fronts.
	exchangeIntervalPerFront = 25 * mn.Millisecond
	// minExchangeInterval and maxExchangeInterval bound the time between two regular
	// exchanges with the same peer. The maximum is shorter than aliveWindow and than the
	// time for which a peer's load counts.
	minExchangeInterval = 120 * mn.Millisecond
	maxExchangeInterval = 1000 * mn.Millisecond
	// exchangeTimeout bounds one exchange. It allows for many round trips between
	// data centres.
	exchangeTimeout = 500 * mn.Millisecond
	// catalogFetchTimeout bounds a fetch of the catalog, which may be large and the link
	// slow.
	catalogFetchTimeout = 1500 * mn.Millisecond
	// maxRelayedCatalog is the size in bytes of a catalog from which on fronts get it
	// from the store instead of from each other.
	maxRelayedCatalog = 64 << 10
	// askTimeout bounds a question to peers by a front whose evidence is old, and
	// askedPeers is how many it asks at once. They are small since they are asked again
	// soon.
	askTimeout = 150 * mn.Millisecond
	askedPeers = 3
	// maxAskInterval is the longest time between two questions. The interval doubles
	// while the evidence stays old, since the store may be down for all fronts.
	maxAskInterval = 4 * ageCheckInterval
	// failedExchangePause is the minimum time from a failed exchange with a peer to
	// the next attempt.
	failedExchangePause = 700 * mn.Millisecond
	// frontsInterval is the time between two reads of the feed of fronts by one of up to
	// frontsPerRead fronts; it grows in proportion if there are more. It may be long
	// because a front that starts sends its state to the peers that registered before
	// it. Until startReads reads, or while no peer is known, the feed is read every
	// frontsStartInterval.
	frontsInterval      = 15 * mn.Second
	frontsPerRead       = 16
	frontsStartInterval = 700 * mn.Millisecond
	startReads          = 2
	// silentFrontTTL is how long after its last state a silent front still counts
	// among those whose run counts a run report waits for.
	silentFrontTTL = 10 * mn.Second
)

// peerSet is the set of the peer fronts.
type peerSet struct {
	self mn.Front

	mu     sync.Mutex
	fronts map[mn.VMID]mn.Front
	// lastReceived is when a front's last state arrived.
	lastReceived map[mn.VMID]mn.Millis
	// startedAt is when a front started, by this front's clock.
	startedAt map[mn.VMID]mn.Millis
	// listedAt is when a front's list of endpoints was known to be current, as far as
	// it has told.
	listedAt map[mn.VMID]mn.Millis
	// needsNoRuns holds the fronts that have told that they need no run counts.
	needsNoRuns map[mn.VMID]bool
}

func newPeerSet(self mn.Front) *peerSet {
	return &peerSet{self: self, fronts: map[mn.VMID]mn.Front{}, lastReceived: map[mn.VMID]mn.Millis{}, startedAt: map[mn.VMID]mn.Millis{}, listedAt: map[mn.VMID]mn.Millis{}, needsNoRuns: map[mn.VMID]bool{}}
}

// apply applies an item of the feed of fronts.
func (p *peerSet) apply(i mn.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var f mn.Front
	if len(i.Value) == 0 || json.Unmarshal(i.Value, &f) != nil || string(f.VM) != i.Key || f.VM == p.self.VM {
		delete(p.fronts, mn.VMID(i.Key))
		return
	}
	p.fronts[f.VM] = f
}

// receive records that a front's state arrived. It adds the front to the set if it
// is unknown or has restarted.
func (p *peerSet) receive(state mn.FrontState, now mn.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived[state.VM] = now
	p.startedAt[state.VM] = now - state.Uptime
	p.needsNoRuns[state.VM] = !state.WantsRuns
	if state.ListAge >= 0 {
		p.listedAt[state.VM] = max(p.listedAt[state.VM], now-state.ListAge)
	}
	if state.VM != p.self.VM && state.Addr != "" && p.fronts[state.VM].Incarnation != state.Incarnation {
		p.fronts[state.VM] = mn.Front{VM: state.VM, Incarnation: state.Incarnation, Addr: state.Addr, DataCentre: state.DataCentre}
	}
}

// wantsRuns reports whether a peer needs run counts, as far as it has told.
func (p *peerSet) wantsRuns(vm mn.VMID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.needsNoRuns[vm]
}

// addr returns the address of a peer, empty if it is unknown.
func (p *peerSet) addr(vm mn.VMID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fronts[vm].Addr
}

// list returns the peer fronts sorted by VM.
func (p *peerSet) list() []mn.Front {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]mn.Front, 0, len(p.fronts))
	for _, f := range p.fronts {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// count returns the number of fronts, including this one.
func (p *peerSet) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.fronts) + 1
}

// registered returns the fronts that have registered, including this one, whether or not they
// are alive.
func (p *peerSet) registered() []mn.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]mn.VMID, 0, len(p.fronts)+1)
	for vm := range p.fronts {
		out = append(out, vm)
	}
	return append(out, p.self.VM)
}

// bestInformed returns up to count peers that are alive: first the one whose list of
// endpoints was known to be current latest, then others at random.
func (p *peerSet) bestInformed(now, maxSilence mn.Millis, count int) []mn.Front {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []mn.Front
	for vm, f := range p.fronts {
		if at, known := p.lastReceived[vm]; known && now-at <= maxSilence {
			out = append(out, f)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	for i := range out {
		if p.listedAt[out[i].VM] > p.listedAt[out[0].VM] {
			out[0], out[i] = out[i], out[0]
		}
	}
	return out[:min(count, len(out))]
}

// oldest returns the front that has been running for the longest time among those
// whose state arrived within maxSilence before now, and when it started.
func (p *peerSet) oldest(now, maxSilence mn.Millis) (oldest mn.Front, startedAt mn.Millis, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, f := range p.fronts {
		if at, known := p.lastReceived[vm]; known && now-at <= maxSilence && (!ok || p.startedAt[vm] < startedAt) {
			oldest, startedAt, ok = f, p.startedAt[vm], true
		}
	}
	return oldest, startedAt, ok
}

// alive returns the fronts whose state arrived within maxSilence before now.
func (p *peerSet) alive(now, maxSilence mn.Millis) []mn.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []mn.VMID
	for vm, at := range p.lastReceived {
		if now-at <= maxSilence {
			out = append(out, vm)
		}
	}
	return out
}

// followFronts registers this front in the feed of fronts, and keeps the set of
// peers up to date until ctx is done.
func (f *Front) followFronts(ctx context.Context) error {
	store := newDependency(f, "store", "fronts")
	next, registered, reads := mn.Offset(-1), false, 0
	for ctx.Err() == nil {
		var err error
		if !registered {
			if err = f.register(ctx); err == nil {
				registered = true
			}
		}
		if err == nil {
			next, err = f.readFronts(ctx, next)
		}
		store.record(err)
		if err == nil {
			reads++
		}
		pause := frontsInterval * mn.Millis(max(f.peers.count(), frontsPerRead)) / frontsPerRead
		if err != nil || f.peers.count() == 1 || reads < startReads {
			pause = frontsStartInterval
		}
		_ = f.clock.Sleep(ctx, pause)
	}
	return nil
}

// register writes this front's record to the feed of fronts.
func (f *Front) register(ctx context.Context) error {
	value, err := json.Marshal(f.self)
	if err != nil {
		return err
	}
	_, err = f.platform.Store.Put(ctx, mn.FrontFeed, string(f.self.VM), value, -1)
	return err
}

// readFronts applies the feed of fronts from offset next on, and returns the offset
// to read from next.
func (f *Front) readFronts(ctx context.Context, next mn.Offset) (mn.Offset, error) {
	items, after, _, err := f.readFeed(ctx, mn.FrontFeed, next, 0)
	if err != nil {
		return next, err
	}
	for _, i := range items {
		f.peers.apply(i)
	}
	return after, nil
}

// readFeed returns the records of a feed from offset next up to its end, and waits up to
// wait for the first one. If next is negative, its records have expired or they don't fit
// in one answer, it returns the newest item of each key instead, and snapshot is true.
// The result after is the offset to read from next.
func (f *Front) readFeed(ctx context.Context, feed mn.FeedKind, next mn.Offset, wait mn.Millis) (items []mn.Item, after mn.Offset, snapshot bool, err error) {
	if next >= 0 {
		items, after, err = f.platform.Store.Follow(ctx, feed, next, wait)
		if code := mn.CodeOf(err); code != mn.RecordsExpired && code != mn.ReadIncomplete {
			return items, after, false, err
		}
		f.log.WithFields(logrus.Fields{"event": "feed_relisted", "feed": feed, "offset": next}).Info(err)
	}
	items, after, err = f.platform.Store.Newest(ctx, feed)
	return items, after, true, err
}

// exchangeWithPeers exchanges state with each peer front until ctx is done.
func (f *Front) exchangeWithPeers(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	exchanging := map[mn.VMID]context.CancelFunc{}
	addrs := map[mn.VMID]string{}
	for ctx.Err() == nil {
		listed := map[mn.VMID]bool{}
		for _, p := range f.peers.list() {
			listed[p.VM] = true
			if addrs[p.VM] == p.Addr {
				continue
			}
			if stop := exchanging[p.VM]; stop != nil {
				stop()
			}
			peerCtx, stop := context.WithCancel(ctx)
			exchanging[p.VM], addrs[p.VM] = stop, p.Addr
			g.Go(func() error { return f.exchangeWith(peerCtx, p) })
		}
		for vm, stop := range exchanging {
			if !listed[vm] {
				stop()
				delete(exchanging, vm)
				delete(addrs, vm)
			}
		}
		f.wantsRuns.Store(f.needsRuns())
		_ = f.clock.Sleep(ctx, minExchangeInterval)
	}
	for _, stop := range exchanging {
		stop()
	}
	return g.Wait()
}

// needsRuns reports whether this front needs the run counts of all fronts: it stores or reports
// them, or may soon.
func (f *Front) needsRuns() bool {
	if f.conf().DutiesAddr == "" {
		return false
	}
	_, held := f.holder.Held()
	return held || f.rank() < max(relay.ReaderCount, maxClaimants)
}

// exchangeWith exchanges state with one peer until ctx is done.
func (f *Front) exchangeWith(ctx context.Context, p mn.Front) error {
	peer := newDependency(f, "front "+string(p.VM), "facts")
	updates := f.balancer.UrgentUpdates()
	var cursor gossip.Cursor
	for ctx.Err() == nil {
		interval := f.exchangeInterval(p.VM)
		call, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
		err := f.gossip.Exchange(call, p, &cursor)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		peer.record(err)
		f.stats.Add(exchangeCounter(p.DataCentre == f.self.DataCentre), 1)
		if err != nil {
			_ = f.clock.Sleep(ctx, max(interval, failedExchangePause))
			continue
		}
		_ = f.clock.Sleep(ctx, f.urgentInterval(p, interval))
		updates = f.balancer.AwaitUrgentUpdate(ctx, updates, interval)
	}
	return nil
}

// exchangeCounter returns the name of the counter of exchanges with peers in the same data
// centre, or in others.
func exchangeCounter(sameDataCentre bool) string {
	if sameDataCentre {
		return "exchanges_within_data_centre"
	}
	return "exchanges_between_data_centres"
}

// urgentInterval returns the minimum time between two exchanges with a peer, however urgent
// the updates are.
func (f *Front) urgentInterval(p mn.Front, regular mn.Millis) mn.Millis {
	return min(regular, relay.UrgentInterval(f.peers.count(), p.DataCentre == f.self.DataCentre))
}

// exchangeInterval returns the maximum time between two exchanges with a peer. It
// is short for the peers that write the run counts of all fronts to the store.
func (f *Front) exchangeInterval(peer mn.VMID) mn.Millis {
	if relay.Rank(peer, f.alive()) < relay.ReaderCount {
		return minExchangeInterval
	}
	return min(maxExchangeInterval, max(minExchangeInterval, exchangeIntervalPerFront*mn.Millis(f.peers.count())))
}

// State implements [gossip.Host].
func (f *Front) State(c *gossip.Cursor, scope mn.StateScope) mn.FrontState {
	f.view.mu.Lock()
	now := f.clock.Now()
	age, listAge := mn.Millis(-1), mn.Millis(-1)
	if f.view.table != nil {
		age = now - f.view.confirmedAt
	}
	if f.view.listedAt > 0 {
		listAge = now - f.view.listedAt
	}
	offset, list := f.view.catalogItem.Offset, f.view.fingerprint
	evacuated, evacuatedNext := f.view.evacuated.List()
	f.view.mu.Unlock()
	state := mn.FrontState{
		VM: f.self.VM, Incarnation: f.self.Incarnation, Uptime: now - f.startedAt, CatalogOffset: offset, CatalogAge: age,
		Scope: scope, Addr: f.self.Addr, DataCentre: f.self.DataCentre, ListFingerprint: list, ListAge: listAge, DutyNext: f.holder.Next(),
		Evacuated: evacuated, EvacuatedNext: evacuatedNext, WantsRuns: f.wantsRuns.Load(),
	}
	if scope >= mn.ScopeChanges {
		f.balancer.AddState(&state, &c.Balancer, scope == mn.ScopeAll)
		state.EngineCrashes, state.ClearedSegments = f.segments.Since(&c.Segments, scope == mn.ScopeAll)
		state.Spent, state.Crashes = c.SpentChanges(f.limiter.Spent()), f.crashNotices.list()
		if state.HasRuns = f.peers.wantsRuns(c.Peer); state.HasRuns {
			state.Runs = c.RunChanges(f.runs.Own())
		}
		if scope == mn.ScopeAll {
			state.Crashes = f.crashTracker.Records(maxCrashRecords)
		}
	}
	return state
}

// ReceiveState implements [gossip.Host].
func (f *Front) ReceiveState(state mn.FrontState, sent mn.Millis) {
	f.peers.receive(state, f.clock.Now())
	if state.Addr == "" {
		state.Addr = f.peers.addr(state.VM)
	}
	if state.Scope >= mn.ScopeChanges {
		f.balancer.ReceiveState(state)
		f.limiter.ReceiveState(state)
		f.runs.ReceiveState(state)
		f.segments.Receive(state.EngineCrashes, state.ClearedSegments)
	}
	for _, p := range state.Crashes {
		f.crashTracker.Add(p)
	}
	f.holder.ReceiveOffset(state.DutyNext)
	// Before the evidence, which confirms the set as well.
	f.view.updateEvacuated("peer", func(r *evac.Register) bool { return r.Replace(state.Evacuated, state.EvacuatedNext) })
	f.receiveCatalogEvidence(state, sent)
	f.receiveListEvidence(state, sent)
}

// askPeers asks peers how current their catalog and list of endpoints are while this
// front's own evidence is old, until ctx is done.
//
// Load pattern: the store rejects most fronts, the readers among them, while endpoints
// leave. The fronts that it serves read it once their evidence is old, but exchange
// state with each peer only rarely in a large fleet.
func (f *Front) askPeers(ctx context.Context) error {
	pause := ageCheckInterval
	for f.clock.Sleep(ctx, pause) == nil {
		now := f.clock.Now()
		_, listedAt := f.view.listed()
		if _, age := f.view.Table(); age <= maxCatalogAge && now-listedAt <= f.view.maxListAge() {
			pause = ageCheckInterval
			continue
		}
		pause = min(maxAskInterval, 2*pause)
		g, call := errgroup.WithContext(ctx)
		call, cancel := context.WithTimeout(call, askTimeout.Duration())
		for _, p := range f.peers.bestInformed(now, aliveWindow, askedPeers) {
			g.Go(func() error {
				if err := f.gossip.Ask(call, p); err != nil {
					f.log.WithFields(logrus.Fields{"event": "ask_failed", "front": p.VM}).Debug(err)
				}
				return nil // The other peers may answer.
			})
		}
		_ = g.Wait() // No call returns an error.
		cancel()
	}
	return nil
}

// receiveCatalogEvidence uses a peer's evidence that its catalog is the newest. The
// peer answered after sent, so if both have the same catalog, it was the newest at
// sent less the age of the peer's evidence. A state that the peer sent by itself,
// for which sent is 0, may have been under way for long: a newer catalog is
// fetched, but an equal one proves nothing.
func (f *Front) receiveCatalogEvidence(state mn.FrontState, sent mn.Millis) {
	if state.CatalogAge < 0 {
		return
	}
	f.view.mu.Lock()
	own, known := f.view.catalogItem.Offset, f.view.table != nil
	f.view.mu.Unlock()
	switch {
	case !known || state.CatalogOffset > own:
		f.fetchFromPeer(state, &f.fetchingCatalog, catalogFetchTimeout, func(ctx context.Context) error {
			return f.fetchCatalog(ctx, state.Addr)
		})
	case state.CatalogOffset == own && sent > 0:
		f.view.confirm(sent - state.CatalogAge - peerAgeSlack)
	}
}

// fetchCatalog fetches the catalog from the peer at addr, or from the store if it is
// large.
//
// Load pattern: a configuration grows by thousands of routes, and all fronts learn of it
// at once from the two that read the store, whose links may be slow.
func (f *Front) fetchCatalog(ctx context.Context, addr string) error {
	i, err := f.gossip.Catalog(ctx, addr, maxRelayedCatalog)
	if err != nil {
		return err
	}
	if len(i.Value) == 0 {
		err := f.view.readCatalog(ctx)
		if err == nil {
			return nil
		}
		f.log.WithFields(logrus.Fields{"event": "large_config_unread", "offset": i.Offset}).Warn(err)
		if i, err = f.gossip.Catalog(ctx, addr, 0); err != nil {
			return err
		}
	}
	_, err = f.view.apply(i)
	return err
}

// receiveListEvidence uses a peer's evidence that its list of endpoints is the
// newest, like [Front.receiveCatalogEvidence].
func (f *Front) receiveListEvidence(state mn.FrontState, sent mn.Millis) {
	if state.ListAge < 0 {
		return
	}
	f.view.mu.Lock()
	same, at := f.view.fingerprint == state.ListFingerprint && f.view.list != nil, f.view.listedAt
	newer := f.clock.Now()-state.ListAge > at
	if same && sent > 0 {
		f.view.listedAt = max(at, sent-state.ListAge-peerAgeSlack)
	}
	f.view.mu.Unlock()
	if same || !newer {
		return
	}
	f.fetchFromPeer(state, &f.fetchingList, exchangeTimeout, func(ctx context.Context) error {
		list, at, ok, err := f.gossip.Endpoints(ctx, state.Addr)
		if ok {
			f.view.adoptPeerList(list, at-peerAgeSlack)
		}
		return err
	})
}

// fetchFromPeer runs call in the background, unless another fetch of the same data is
// still running.
func (f *Front) fetchFromPeer(state mn.FrontState, fetching *atomic.Bool, timeout mn.Millis, call func(context.Context) error) {
	if state.Addr == "" || !fetching.CompareAndSwap(false, true) {
		return // A front that is unknown tells its address with its next full state.
	}
	go func() {
		defer fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
		defer cancel()
		if err := call(ctx); err != nil {
			f.log.WithFields(logrus.Fields{"event": "fetch_failed", "front": state.VM}).Warn(err)
		}
	}()
}

// Endpoints implements [gossip.Host].
func (f *Front) Endpoints() ([]mn.Endpoint, mn.Millis) {
	f.view.mu.Lock()
	defer f.view.mu.Unlock()
	if f.view.listedAt == 0 {
		return nil, -1
	}
	return f.view.list, f.clock.Now() - f.view.listedAt
}

// CatalogItem implements [gossip.Host].
func (f *Front) CatalogItem() mn.Item {
	f.view.mu.Lock()
	defer f.view.mu.Unlock()
	return f.view.catalogItem
}

const (
	// crashNoticeTTL is how long a crash is included in the state for peer fronts:
	// several exchanges.
	crashNoticeTTL = 3 * mn.Second
	// maxCrashNotices bounds the number of crashes in a state.
	maxCrashNotices = 64
	// maxCrashRecords bounds the number of crashes in a full state, which a front gets
	// that may have missed the notices.
	maxCrashRecords = 512
)

// crashList holds the crashes that this front observed recently.
type crashList struct {
	clock mn.Clock

	mu      sync.Mutex
	crashes []mn.CrashRecord
	seenAt  []mn.Millis
}

func (l *crashList) add(crash mn.CrashRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes, l.seenAt = append(l.crashes, crash), append(l.seenAt, l.clock.Now())
	if n := len(l.crashes) - maxCrashNotices; n > 0 {
		l.crashes, l.seenAt = l.crashes[n:], l.seenAt[n:]
	}
}

func (l *crashList) list() []mn.CrashRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for len(l.seenAt) > 0 && now-l.seenAt[0] > crashNoticeTTL {
		l.crashes, l.seenAt = l.crashes[1:], l.seenAt[1:]
	}
	return append([]mn.CrashRecord(nil), l.crashes...)
}
