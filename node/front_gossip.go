package node

import (
	"context"
	"encoding/json"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/core/relay"
	"mustardnotch/io/gossip"
)

const (
	// exchangeIntervalPerFront is the time between exchanges with one front for each front
	// there is, so that what a front hears a second does not grow with them.
	exchangeIntervalPerFront = 25 * mn.Millisecond
	// minExchangeInterval is the least time between exchanges with one front.
	minExchangeInterval = 120 * mn.Millisecond
	// exchangeTimeout bounds one exchange: many round trips between data centres.
	exchangeTimeout = 500 * mn.Millisecond
	// urgentIntervalPerFront is the least time between two exchanges with one front, for each
	// front there is; changes in it go together.
	urgentIntervalPerFront = 1 * mn.Millisecond
	// failedExchangePause is the pause before a front that did not answer is asked again.
	failedExchangePause = 700 * mn.Millisecond
	// frontsInterval is the time between reads of the fronts' feed: a front that
	// starts makes itself known to the others. frontsStartInterval is the same while the
	// process is young or nobody else is known.
	frontsInterval      = 15 * mn.Second
	frontsStartInterval = 700 * mn.Millisecond
	startPeriod         = 5 * mn.Second
	// silentFrontTTL is how long a front that can't be reached counts among those
	// whose counts a report waits for.
	silentFrontTTL = 10 * mn.Second
)

// peerSet is the set of the other fronts.
type peerSet struct {
	self mn.Front

	mu           sync.Mutex
	fronts       map[mn.VMID]mn.Front
	lastReceived map[mn.VMID]mn.Millis
	// startedAt is since when a front has been running, by this front's clock.
	startedAt map[mn.VMID]mn.Millis
}

func newPeerSet(self mn.Front) *peerSet {
	return &peerSet{self: self, fronts: map[mn.VMID]mn.Front{}, lastReceived: map[mn.VMID]mn.Millis{}, startedAt: map[mn.VMID]mn.Millis{}}
}

// apply takes in an item of the feed of fronts.
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

// receive notes a front's word; a front that was not known is one from now on.
func (p *peerSet) receive(state mn.FrontState, now mn.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived[state.VM] = now
	p.startedAt[state.VM] = now - state.Uptime
	if state.VM != p.self.VM && state.Addr != "" && p.fronts[state.VM].Incarnation != state.Incarnation {
		p.fronts[state.VM] = mn.Front{VM: state.VM, Incarnation: state.Incarnation, Addr: state.Addr, DataCentre: state.DataCentre}
	}
}

// list returns the other fronts in the order of their names.
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

// count returns how many fronts there are, with this one.
func (p *peerSet) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.fronts) + 1
}

// oldest returns the front that has been running for the longest among those that
// were heard within span before now, and since when.
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

// alive returns the fronts that were heard within span before now.
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

// followFronts enters this front into the feed of fronts and keeps the list.
func (f *Front) followFronts(ctx context.Context) error {
	store := newDependency(f, "store", "fronts")
	next, registered := mn.Offset(-1), false
	start := f.clock.Now()
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
		pause := frontsInterval
		if err != nil || f.peers.count() == 1 || f.clock.Now()-start < startPeriod {
			pause = frontsStartInterval
		}
		_ = f.clock.Sleep(ctx, pause)
	}
	return nil
}

func (f *Front) register(ctx context.Context) error {
	value, err := json.Marshal(f.self)
	if err != nil {
		return err
	}
	_, err = f.platform.Store.Put(ctx, mn.FrontFeed, string(f.self.VM), value, -1)
	return err
}

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

// readFeed returns what a feed holds from offset next on, for which it waits up to
// wait. Where next is negative or its records are gone, it returns the newest item
// of each key, and whole is true.
func (f *Front) readFeed(ctx context.Context, feed mn.FeedKind, next mn.Offset, wait mn.Millis) (items []mn.Item, after mn.Offset, snapshot bool, err error) {
	if next >= 0 {
		items, after, err = f.platform.Store.Follow(ctx, feed, next, wait)
		if mn.CodeOf(err) != mn.RecordsExpired {
			return items, after, false, err
		}
	}
	items, after, err = f.platform.Store.Newest(ctx, feed)
	return items, after, true, err
}

// exchangeWithPeers exchanges facts with each other front until ctx is done.
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
		_ = f.clock.Sleep(ctx, minExchangeInterval)
	}
	for _, stop := range exchanging {
		stop()
	}
	return g.Wait()
}

func (f *Front) exchangeWith(ctx context.Context, p mn.Front) error {
	peer := newDependency(f, "front "+string(p.VM), "facts")
	updates := f.balancer.UrgentUpdates()
	var cursor gossip.Cursor
	for ctx.Err() == nil {
		interval := f.exchangeInterval(p.VM)
		call, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
		err := f.gossip.Exchange(call, p.Addr, &cursor)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		peer.record(err)
		if err != nil {
			_ = f.clock.Sleep(ctx, max(interval, failedExchangePause))
			continue
		}
		_ = f.clock.Sleep(ctx, urgentIntervalPerFront*mn.Millis(f.peers.count()))
		updates = f.balancer.AwaitUrgentUpdate(ctx, updates, interval)
	}
	return nil
}

// exchangeInterval is the longest time between two exchanges with a front. Those that
// write down what all have counted hear of it soon.
func (f *Front) exchangeInterval(peer mn.VMID) mn.Millis {
	if relay.Rank(peer, f.alive()) < relay.ReaderCount {
		return minExchangeInterval
	}
	return max(minExchangeInterval, exchangeIntervalPerFront*mn.Millis(f.peers.count()))
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
	f.view.mu.Unlock()
	state := mn.FrontState{
		VM: f.self.VM, Incarnation: f.self.Incarnation, Uptime: now - f.startedAt, CatalogOffset: offset, CatalogAge: age,
		Scope: scope, Addr: f.self.Addr, DataCentre: f.self.DataCentre, ListFingerprint: list, ListAge: listAge, DutyNext: f.holder.Next(),
	}
	if scope >= mn.ScopeChanges {
		state.Loads, state.PrefilledPrompts = f.balancer.StateSince(&c.Balancer, scope == mn.ScopeAll)
		state.Spent, state.Runs, state.Crashes = c.SpentChanges(f.limiter.Spent()), c.RunChanges(f.runs.Own()), f.crashNotices.list()
	}
	return state
}

// ReceiveState implements [gossip.Host].
func (f *Front) ReceiveState(state mn.FrontState, sent mn.Millis) {
	f.peers.receive(state, f.clock.Now())
	if state.Scope >= mn.ScopeChanges {
		f.balancer.ReceiveState(state)
		f.limiter.ReceiveState(state)
		f.runs.ReceiveState(state)
	}
	for _, p := range state.Crashes {
		f.crashes.Add(p)
	}
	f.holder.ReceiveOffset(state.DutyNext)
	f.receiveCatalogEvidence(state, sent)
	f.receiveListEvidence(state, sent)
}

// receiveCatalogEvidence takes in another front's evidence on the catalog: what was the
// newest when it answered was so its evidence's age before, and it answered after
// sent. A front that spoke unasked may have done so long ago; its catalog counts
// if it is newer, but is no evidence.
func (f *Front) receiveCatalogEvidence(state mn.FrontState, sent mn.Millis) {
	if state.CatalogAge < 0 {
		return
	}
	f.view.mu.Lock()
	own, known := f.view.catalogItem.Offset, f.view.table != nil
	f.view.mu.Unlock()
	switch {
	case !known || state.CatalogOffset > own:
		f.fetchFromPeer(state, func(ctx context.Context) error {
			i, err := f.gossip.Catalog(ctx, state.Addr)
			if err == nil {
				f.view.apply(i)
			}
			return err
		})
	case state.CatalogOffset == own && sent > 0:
		f.view.confirm(0, sent-state.CatalogAge-peerAgeSlack)
	}
}

// receiveListEvidence takes in another front's evidence on the list of endpoints.
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
	f.fetchFromPeer(state, func(ctx context.Context) error {
		list, at, ok, err := f.gossip.Endpoints(ctx, state.Addr)
		if ok {
			f.view.adoptPeerList(list, at-peerAgeSlack)
		}
		return err
	})
}

// fetchFromPeer calls another front in the background, unless a fetch is under way.
func (f *Front) fetchFromPeer(state mn.FrontState, call func(context.Context) error) {
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout.Duration())
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
	// crashNoticeTTL is how long other fronts are told of a crash: several exchanges.
	crashNoticeTTL = 3 * mn.Second
	// maxCrashNotices bounds what is told at once.
	maxCrashNotices = 64
)

// crashList keeps the crashes that this front saw lately.
type crashList struct {
	clock mn.Clock

	mu      sync.Mutex
	crashes []mn.CrashRecord
	seenAt  []mn.Millis
}

func (l *crashList) add(p mn.CrashRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes, l.seenAt = append(l.crashes, p), append(l.seenAt, l.clock.Now())
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
