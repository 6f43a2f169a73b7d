package node

import (
	"context"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/lists"
	"mustardnotch/core/paths"
	"mustardnotch/core/relay"
)

const (
	// catalogPollTimeout is how long a read of the catalog waits for a change. An empty
	// answer after it shows that the view was the newest until then.
	catalogPollTimeout = 900 * mn.Millisecond
	// endpointsInterval is the time between reads of the endpoints' feed, which
	// changes all the time: a part of the time in which a leaving endpoint must
	// get no more work.
	endpointsInterval = 450 * mn.Millisecond
	// maxCatalogAge is the age of evidence from which a front reads the catalog by
	// itself: the readers' evidence is this old where several exchanges fail.
	maxCatalogAge = 1300 * mn.Millisecond
	// maxListAgeShare is the same for the list, as a share of the time in which a
	// leaving endpoint must get no more work: there is time for two reads.
	maxListAgeShare = 0.45
	// ageCheckInterval is the time between looks at the age of evidence.
	ageCheckInterval = 80 * mn.Millisecond
	// aliveWindow is how long after its last word a front counts as alive.
	aliveWindow = 1500 * mn.Millisecond
	// emptyCatalogPause is the time between reads of a catalog in which nothing was
	// written yet.
	emptyCatalogPause = 150 * mn.Millisecond
	// keyMargin is kept from the time within which a withdrawn key must be
	// refused, for the way of a request from its caller.
	keyMargin = 250 * mn.Millisecond
	// peerAgeSlack is added to the age of another front's evidence.
	peerAgeSlack = 20 * mn.Millisecond
)

// frontView is what a front believes of the configuration and the endpoints.
type frontView struct {
	*Front

	mu          sync.Mutex
	catalogItem mn.Item
	table       *paths.Table
	// next is the offset from which the catalog's feed is to be read.
	next mn.Offset
	// confirmedAt is the latest instant at which the view was surely the newest.
	confirmedAt mn.Millis
	// list is the list of endpoints, the newest at listedAt; listedAt is 0 for
	// none.
	list        []mn.Endpoint
	fingerprint uint64
	listedAt    mn.Millis
}

func newFrontView(f *Front) *frontView { return &frontView{Front: f} }

// Table returns the catalog in force and the age of the evidence for it.
func (v *frontView) Table() (*paths.Table, mn.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, v.clock.Now() - v.confirmedAt
}

// KeysFresh says whether the view is new enough to accept keys.
func (v *frontView) KeysFresh() bool {
	if !v.conf().StrictRevoke {
		return true
	}
	_, age := v.Table()
	return age < v.conf().RevokeWithin-keyMargin
}

// alive returns the fronts that are alive, with this one.
func (f *Front) alive() []mn.VMID {
	return append(f.peers.alive(f.clock.Now(), aliveWindow), f.self.VM)
}

// rank returns this front's place among those that are alive.
func (f *Front) rank() int { return relay.Rank(f.self.VM, f.alive()) }

// listed returns the list of endpoints, and when it was surely the newest; 0 if
// there was never one.
func (v *frontView) listed() ([]mn.Endpoint, mn.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list, v.listedAt
}

// adoptPeerList takes in another front's list. What lapsed for the other front only
// may have been gone for long.
func (v *frontView) adoptPeerList(list []mn.Endpoint, at mn.Millis) {
	own, _ := v.listed()
	list = slices.DeleteFunc(list, func(e mn.Endpoint) bool {
		return e.Unlisted && !slices.ContainsFunc(own, func(o mn.Endpoint) bool { return o.ID == e.ID })
	})
	v.setList(list, at)
}

// apply takes in a catalog item unless a newer one is in force.
func (v *frontView) apply(i mn.Item) {
	c, err := v.platform.Store.Catalog(i)
	if err != nil {
		v.log.WithFields(logrus.Fields{"event": "config_unreadable", "offset": i.Offset}).Error(err)
		return
	}
	if c == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && (i.Offset <= v.catalogItem.Offset || c.Version < v.table.Catalog.Version) {
		return
	}
	v.catalogItem, v.table = i, paths.New(c)
	v.limiter.SetRates(c.Customers)
	v.balancer.SetPools(c.Pools)
	v.balancer.RequestUrgentUpdate()
	v.log.WithFields(logrus.Fields{"event": "config", "version": c.Version, "offset": i.Offset,
		"routes": len(c.Routes), "customers": len(c.Customers)}).Info()
}

// confirm notes that the view took in everything up to next at instant at.
func (v *frontView) confirm(next mn.Offset, at mn.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next = max(v.next, next)
	v.confirmedAt = max(v.confirmedAt, at)
}

// position returns the offset from which the catalog is to be read.
func (v *frontView) position() (next mn.Offset, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.next, v.table != nil
}

// followCatalog keeps the catalog up to date until ctx is done.
func (v *frontView) followCatalog(ctx context.Context) error {
	store := newDependency(v.Front, "store", "catalog")
	failures := 0
	for ctx.Err() == nil {
		if _, age := v.Table(); !relay.ShouldRead(v.rank(), age, maxCatalogAge) {
			_ = v.clock.Sleep(ctx, ageCheckInterval)
			continue
		}
		err := v.readCatalog(ctx)
		store.record(err)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		_ = v.clock.Sleep(ctx, relay.RetryDelay(v.rank(), failures))
	}
	return nil
}

func (v *frontView) readCatalog(ctx context.Context) error {
	sent := v.clock.Now()
	next, known := v.position()
	if !known {
		next = -1
	}
	items, after, snapshot, err := v.readFeed(ctx, mn.CatalogFeed, next, catalogPollTimeout)
	if err != nil {
		return err
	}
	for _, i := range items {
		v.apply(i)
	}
	confirmed := sent
	if !snapshot && len(items) == 0 {
		// The store looked again when the wait was over.
		confirmed = min(sent+catalogPollTimeout, v.clock.Now())
	}
	v.confirm(after, confirmed)
	if _, known := v.position(); !known {
		_ = v.clock.Sleep(ctx, emptyCatalogPause) // The operator has written nothing yet.
	}
	return nil
}

// followEndpoints keeps the list of endpoints up to date until ctx is done.
func (v *frontView) followEndpoints(ctx context.Context) error {
	list := lists.New(v.platform.Store.Endpoint)
	store := newDependency(v.Front, "store", "endpoints")
	next := mn.Offset(-1)
	failures := 0
	for ctx.Err() == nil {
		known, at := v.listed()
		list.Adopt(known, at)
		if !relay.ShouldRead(v.rank(), v.clock.Now()-at, v.maxListAge()) {
			// What other fronts read since is not in this front's own list.
			next = -1
			_ = v.clock.Sleep(ctx, ageCheckInterval)
			continue
		}
		sent := v.clock.Now()
		after, err := v.readEndpoints(ctx, list, next)
		store.record(err)
		pause := endpointsInterval
		if err == nil {
			next, failures = after, 0
			v.setList(list.Endpoints(v.clock.Now()), sent)
		} else {
			failures++
			pause = relay.RetryDelay(v.rank(), failures)
		}
		_ = v.clock.Sleep(ctx, pause)
	}
	return nil
}

// maxListAge is the age of the list from which a front reads it by itself.
func (v *frontView) maxListAge() mn.Millis {
	return mn.Millis(maxListAgeShare * float64(v.conf().DrainWithin))
}

// setList takes in a list of endpoints that was the newest at instant at, unless
// a newer one is known.
func (v *frontView) setList(list []mn.Endpoint, at mn.Millis) {
	fingerprint := relay.Fingerprint(list)
	v.mu.Lock()
	defer v.mu.Unlock()
	if at < v.listedAt {
		return
	}
	v.listedAt = at
	if fingerprint == v.fingerprint && v.list != nil {
		return
	}
	v.list, v.fingerprint = list, fingerprint
	v.balancer.SetEndpoints(list)
	v.balancer.RequestUrgentUpdate()
	v.log.WithFields(logrus.Fields{"event": "endpoints", "count": len(list), "age_ms": v.clock.Now() - at}).Info()
}

func (v *frontView) readEndpoints(ctx context.Context, list *lists.List, next mn.Offset) (mn.Offset, error) {
	items, after, snapshot, err := v.readFeed(ctx, mn.EndpointFeed, next, 0)
	if err != nil {
		return next, err
	}
	now := v.clock.Now()
	list.MarkRead(now)
	if snapshot {
		for _, err := range list.Replace(items, now) {
			v.logEntryError(mn.Item{}, err)
		}
		return after, nil
	}
	for _, i := range items {
		v.logEntryError(i, list.Apply(i, now))
	}
	return after, nil
}

func (v *frontView) logEntryError(i mn.Item, err error) {
	if err != nil {
		v.log.WithFields(logrus.Fields{"event": "endpoint_unreadable", "endpoint": i.Key, "offset": i.Offset}).Warn(err)
	}
}

// dependency logs when a dependency is lost and when it is back.
type dependency struct {
	log    *logrus.Entry
	f      *Front
	name   string
	lostAt mn.Millis
}

func newDependency(f *Front, peer, use string) *dependency {
	return &dependency{f: f, name: peer + "_" + use, log: f.log.WithFields(logrus.Fields{"dependency": peer, "use": use})}
}

// record takes in the result of a call.
func (l *dependency) record(err error) {
	now := l.f.clock.Now()
	switch {
	case err != nil && l.lostAt == 0:
		l.lostAt = now
		l.f.stats.Add("lost_"+l.name, 1)
		l.log.WithField("event", "dependency_lost").Warn(err)
	case err == nil && l.lostAt > 0:
		l.log.WithFields(logrus.Fields{"event": "dependency_back", "away_ms": now - l.lostAt}).Info()
		l.lostAt = 0
	}
}
