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
	// talkPerFront is the time between exchanges with one front for each front
	// there is, so that what a front hears a second does not grow with them.
	talkPerFront = 25 * mn.Millisecond
	// talkLeast is the least time between exchanges with one front.
	talkLeast = 120 * mn.Millisecond
	// talkTimeout bounds one exchange: many round trips between data centres.
	talkTimeout = 500 * mn.Millisecond
	// newsApart is the least time between two exchanges with one front, for each
	// front there is; changes in it go together.
	newsApart = 1 * mn.Millisecond
	// talkLost is the pause before a front that did not answer is asked again.
	talkLost = 700 * mn.Millisecond
	// frontsEvery is the time between reads of the fronts' feed: a front that
	// starts makes itself known to the others. frontsSoon is the same while the
	// process is young or nobody else is known.
	frontsEvery = 15 * mn.Second
	frontsSoon  = 700 * mn.Millisecond
	youngSpan   = 5 * mn.Second
	// expectedLife is how long a front that can't be reached counts among those
	// whose counts a report waits for.
	expectedLife = 10 * mn.Second
)

// peerSet is the set of the other fronts.
type peerSet struct {
	self mn.Front

	mu     sync.Mutex
	fronts map[mn.VMID]mn.Front
	heard  map[mn.VMID]mn.Millis
	// born is since when a front has been running, by this front's clock.
	born map[mn.VMID]mn.Millis
}

func newPeerSet(self mn.Front) *peerSet {
	return &peerSet{self: self, fronts: map[mn.VMID]mn.Front{}, heard: map[mn.VMID]mn.Millis{}, born: map[mn.VMID]mn.Millis{}}
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

// hear notes a front's word; a front that was not known is one from now on.
func (p *peerSet) hear(facts mn.FrontState, now mn.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[facts.VM] = now
	p.born[facts.VM] = now - facts.Uptime
	if facts.VM != p.self.VM && facts.Addr != "" && p.fronts[facts.VM].Incarnation != facts.Incarnation {
		p.fronts[facts.VM] = mn.Front{VM: facts.VM, Incarnation: facts.Incarnation, Addr: facts.Addr, DataCentre: facts.DataCentre}
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

// eldest returns the front that has been running for the longest among those that
// were heard within span before now, and since when.
func (p *peerSet) eldest(now, span mn.Millis) (eldest mn.Front, born mn.Millis, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, f := range p.fronts {
		if at, heard := p.heard[vm]; heard && now-at <= span && (!ok || p.born[vm] < born) {
			eldest, born, ok = f, p.born[vm], true
		}
	}
	return eldest, born, ok
}

// alive returns the fronts that were heard within span before now.
func (p *peerSet) alive(now, span mn.Millis) []mn.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []mn.VMID
	for vm, at := range p.heard {
		if now-at <= span {
			out = append(out, vm)
		}
	}
	return out
}

// followFronts enters this front into the feed of fronts and keeps the list.
func (f *Front) followFronts(ctx context.Context) error {
	link := newLink(f, "store", "fronts")
	next, entered := mn.Offset(-1), false
	begun := f.clock.Now()
	for ctx.Err() == nil {
		var err error
		if !entered {
			if err = f.enter(ctx); err == nil {
				entered = true
			}
		}
		if err == nil {
			next, err = f.readFronts(ctx, next)
		}
		link.result(err)
		pause := frontsEvery
		if err != nil || f.peers.count() == 1 || f.clock.Now()-begun < youngSpan {
			pause = frontsSoon
		}
		_ = f.clock.Sleep(ctx, pause)
	}
	return nil
}

func (f *Front) enter(ctx context.Context) error {
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
func (f *Front) readFeed(ctx context.Context, feed mn.FeedKind, next mn.Offset, wait mn.Millis) (items []mn.Item, after mn.Offset, whole bool, err error) {
	if next >= 0 {
		items, after, err = f.platform.Store.Follow(ctx, feed, next, wait)
		if mn.CodeOf(err) != mn.RecordsExpired {
			return items, after, false, err
		}
	}
	items, after, err = f.platform.Store.Newest(ctx, feed)
	return items, after, true, err
}

// talk exchanges facts with each other front until ctx is done.
func (f *Front) talk(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	talking := map[mn.VMID]context.CancelFunc{}
	addrs := map[mn.VMID]string{}
	for ctx.Err() == nil {
		listed := map[mn.VMID]bool{}
		for _, p := range f.peers.list() {
			listed[p.VM] = true
			if addrs[p.VM] == p.Addr {
				continue
			}
			if stop := talking[p.VM]; stop != nil {
				stop()
			}
			peerCtx, stop := context.WithCancel(ctx)
			talking[p.VM], addrs[p.VM] = stop, p.Addr
			g.Go(func() error { return f.talkTo(peerCtx, p) })
		}
		for vm, stop := range talking {
			if !listed[vm] {
				stop()
				delete(talking, vm)
				delete(addrs, vm)
			}
		}
		_ = f.clock.Sleep(ctx, talkLeast)
	}
	for _, stop := range talking {
		stop()
	}
	return g.Wait()
}

func (f *Front) talkTo(ctx context.Context, p mn.Front) error {
	link := newLink(f, "front "+string(p.VM), "facts")
	news := f.board.UrgentUpdates()
	var cursor gossip.Cursor
	for ctx.Err() == nil {
		period := f.talkPeriod(p.VM)
		call, cancel := context.WithTimeout(ctx, talkTimeout.Duration())
		err := f.mates.Exchange(call, p.Addr, &cursor)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		link.result(err)
		if err != nil {
			_ = f.clock.Sleep(ctx, max(period, talkLost))
			continue
		}
		_ = f.clock.Sleep(ctx, newsApart*mn.Millis(f.peers.count()))
		news = f.board.AwaitUrgentUpdate(ctx, news, period)
	}
	return nil
}

// talkPeriod is the longest time between two exchanges with a front. Those that
// write down what all have counted hear of it soon.
func (f *Front) talkPeriod(peer mn.VMID) mn.Millis {
	if relay.Rank(peer, f.alive()) < relay.ReaderCount {
		return talkLeast
	}
	return max(talkLeast, talkPerFront*mn.Millis(f.peers.count()))
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
	offset, list := f.view.item.Offset, f.view.fingerprint
	f.view.mu.Unlock()
	facts := mn.FrontState{
		VM: f.self.VM, Incarnation: f.self.Incarnation, Uptime: now - f.born, CatalogOffset: offset, CatalogAge: age,
		Scope: scope, Addr: f.self.Addr, DataCentre: f.self.DataCentre, ListFingerprint: list, ListAge: listAge, DutyNext: f.holder.Next(),
	}
	if scope >= mn.ScopeChanges {
		facts.Loads, facts.PrefilledPrompts = f.board.StateSince(&c.Balancer, scope == mn.ScopeAll)
		facts.Spent, facts.Runs, facts.Crashes = c.SpentChanges(f.meter.Spent()), c.RunChanges(f.runs.Own()), f.crashes.list()
	}
	return facts
}

// ReceiveState implements [gossip.Host].
func (f *Front) ReceiveState(facts mn.FrontState, sent mn.Millis) {
	f.peers.hear(facts, f.clock.Now())
	if facts.Scope >= mn.ScopeChanges {
		f.board.ReceiveState(facts)
		f.meter.ReceiveState(facts)
		f.runs.ReceiveState(facts)
	}
	for _, p := range facts.Crashes {
		f.poisons.Add(p)
	}
	f.holder.ReceiveOffset(facts.DutyNext)
	f.learnCatalog(facts, sent)
	f.learnList(facts, sent)
}

// learnCatalog takes in another front's evidence on the catalog: what was the
// newest when it answered was so its evidence's age before, and it answered after
// sent. A front that spoke unasked may have done so long ago; its catalog counts
// if it is newer, but is no evidence.
func (f *Front) learnCatalog(facts mn.FrontState, sent mn.Millis) {
	if facts.CatalogAge < 0 {
		return
	}
	f.view.mu.Lock()
	own, known := f.view.item.Offset, f.view.table != nil
	f.view.mu.Unlock()
	switch {
	case !known || facts.CatalogOffset > own:
		f.fetch(facts, func(ctx context.Context) error {
			i, err := f.mates.Catalog(ctx, facts.Addr)
			if err == nil {
				f.view.apply(i)
			}
			return err
		})
	case facts.CatalogOffset == own && sent > 0:
		f.view.confirm(0, sent-facts.CatalogAge-vouchSlack)
	}
}

// learnList takes in another front's evidence on the list of endpoints.
func (f *Front) learnList(facts mn.FrontState, sent mn.Millis) {
	if facts.ListAge < 0 {
		return
	}
	f.view.mu.Lock()
	same, at := f.view.fingerprint == facts.ListFingerprint && f.view.list != nil, f.view.listedAt
	newer := f.clock.Now()-facts.ListAge > at
	if same && sent > 0 {
		f.view.listedAt = max(at, sent-facts.ListAge-vouchSlack)
	}
	f.view.mu.Unlock()
	if same || !newer {
		return
	}
	f.fetch(facts, func(ctx context.Context) error {
		list, at, ok, err := f.mates.Endpoints(ctx, facts.Addr)
		if ok {
			f.view.learnList(list, at-vouchSlack)
		}
		return err
	})
}

// fetch calls another front in the background, unless a fetch is under way.
func (f *Front) fetch(facts mn.FrontState, call func(context.Context) error) {
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), talkTimeout.Duration())
		defer cancel()
		if err := call(ctx); err != nil {
			f.log.WithFields(logrus.Fields{"event": "fetch_failed", "front": facts.VM}).Warn(err)
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
	return f.view.item
}

const (
	// crashesTold is how long other fronts are told of a crash: several exchanges.
	crashesTold = 3 * mn.Second
	// crashesMost bounds what is told at once.
	crashesMost = 64
)

// crashList keeps the crashes that this front saw lately.
type crashList struct {
	clock mn.Clock

	mu      sync.Mutex
	crashes []mn.CrashRecord
	at      []mn.Millis
}

func (l *crashList) add(p mn.CrashRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes, l.at = append(l.crashes, p), append(l.at, l.clock.Now())
	if n := len(l.crashes) - crashesMost; n > 0 {
		l.crashes, l.at = l.crashes[n:], l.at[n:]
	}
}

func (l *crashList) list() []mn.CrashRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for len(l.at) > 0 && now-l.at[0] > crashesTold {
		l.crashes, l.at = l.crashes[1:], l.at[1:]
	}
	return append([]mn.CrashRecord(nil), l.crashes...)
}
