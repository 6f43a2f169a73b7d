package node

import (
	"context"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/evac"
	"mustardnotch/core/paths"
	"mustardnotch/core/relay"
)

const (
	// catalogPollTimeout is how long a read of the catalog feed waits for a change.
	// An empty answer after it shows that the front's catalog was the newest until
	// then.
	catalogPollTimeout = 900 * mn.Millisecond
	// maxCatalogAge is the age of the evidence for the catalog above which a front
	// that is not a reader reads the catalog feed itself. The evidence from the
	// readers becomes this old when several exchanges in a row fail.
	maxCatalogAge = 1300 * mn.Millisecond
	// ageCheckInterval is the time between two checks of the age of the evidence.
	ageCheckInterval = 80 * mn.Millisecond
	// aliveWindow is how long a front counts as alive after its last state arrived.
	aliveWindow = 1500 * mn.Millisecond
	// emptyCatalogPause is the time between two reads while there is no catalog.
	emptyCatalogPause = 150 * mn.Millisecond
	// keyMargin is subtracted from the time within which a withdrawn key must be
	// rejected, for the time that a request takes to arrive from its caller.
	keyMargin = 250 * mn.Millisecond
	// peerAgeSlack is added to the age of a peer's evidence.
	peerAgeSlack = 20 * mn.Millisecond
)

// frontView holds the catalog and the list of endpoints that a front uses, and when
// each was last known to be the newest.
type frontView struct {
	*Front

	mu          sync.Mutex
	catalogItem mn.Item
	table       *paths.Table
	// next is the offset from which the catalog feed is read next, or -1 before this front
	// has read it.
	next mn.Offset
	// evacuated is the set of evacuated data centres.
	evacuated evac.Register
	// confirmedAt is the latest time at which the catalog is known to have been the
	// newest.
	confirmedAt mn.Millis
	// list is the list of endpoints. It was the newest at listedAt, which is 0 if
	// there is no list.
	list        []mn.Endpoint
	fingerprint uint64
	listedAt    mn.Millis
	// feed reads the list from the store, and confirmer confirms it before a send.
	feed      *listFeed
	confirmer *listConfirmer
}

func newFrontView(f *Front) *frontView {
	v := &frontView{Front: f, next: -1}
	v.feed = newListFeed(v)
	v.confirmer = &listConfirmer{view: v}
	return v
}

// Table implements [front.View].
func (v *frontView) Table() (*paths.Table, mn.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, v.clock.Now() - v.confirmedAt
}

// KeysFresh implements [front.View].
func (v *frontView) KeysFresh(age mn.Millis) bool {
	return !v.conf().StrictRevoke || age < v.conf().RevokeWithin-keyMargin
}

// alive returns the fronts that are alive, including this one.
func (f *Front) alive() []mn.VMID {
	return append(f.peers.alive(f.clock.Now(), aliveWindow), f.self.VM)
}

// rank returns this front's rank among the fronts that are alive.
func (f *Front) rank() int { return relay.Rank(f.self.VM, f.alive()) }

// listed returns the list of endpoints and the time at which it was known to be the
// newest, 0 if there is no list.
func (v *frontView) listed() ([]mn.Endpoint, mn.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list, v.listedAt
}

// ListAge implements [front.View].
func (v *frontView) ListAge() mn.Millis {
	_, at := v.listed()
	return v.clock.Now() - at
}

// adoptPeerList adopts a peer's list of endpoints. It leaves out the endpoints that
// are gone from the feed and that only the peer still lists, since they may have
// been gone for long.
func (v *frontView) adoptPeerList(list []mn.Endpoint, at mn.Millis) {
	own, _ := v.listed()
	list = slices.DeleteFunc(list, func(e mn.Endpoint) bool {
		return e.Unlisted && !slices.ContainsFunc(own, func(o mn.Endpoint) bool { return o.ID == e.ID })
	})
	v.setList(list, at)
}

// apply puts the catalog of an item in force unless a newer one is in force. It returns
// false if the item is not a catalog, and an error if the catalog can't be read.
func (v *frontView) apply(i mn.Item) (found bool, err error) {
	c, err := v.platform.Store.Catalog(i)
	if err != nil {
		v.log.WithFields(logrus.Fields{"event": "config_unreadable", "offset": i.Offset}).Error(err)
		return true, err
	}
	if c == nil {
		return false, nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && (i.Offset <= v.catalogItem.Offset || c.Version < v.table.Catalog.Version) {
		return true, nil
	}
	v.catalogItem, v.table = i, paths.New(c)
	v.limiter.SetRates(c.Customers)
	v.balancer.SetPools(c.Pools)
	v.balancer.RequestUrgentUpdate()
	v.log.WithFields(logrus.Fields{"event": "config", "version": c.Version, "offset": i.Offset,
		"routes": len(c.Routes), "customers": len(c.Customers)}).Info()
	return true, nil
}

// readEvacuations applies the evacuations among items of the catalog feed, which were read up
// to offset next.
func (v *frontView) readEvacuations(items []mn.Item, next mn.Offset, snapshot bool) {
	var changes []evac.Change
	var listed []mn.DataCentre
	for _, i := range items {
		dc, evacuated, ok := v.platform.Store.Evacuation(i)
		if !ok {
			continue
		}
		changes = append(changes, evac.Change{DataCentre: dc, Evacuated: evacuated, Offset: i.Offset})
		if evacuated {
			listed = append(listed, dc)
		}
	}
	v.updateEvacuated("store", func(r *evac.Register) bool {
		if snapshot {
			return r.Replace(listed, next)
		}
		return r.Apply(changes, next)
	})
}

// updateEvacuated has update change the set of evacuated data centres, and puts a changed one in
// force.
func (v *frontView) updateEvacuated(source string, update func(*evac.Register) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !update(&v.evacuated) {
		return
	}
	list, next := v.evacuated.List()
	v.balancer.SetEvacuated(list)
	v.balancer.RequestUrgentUpdate()
	v.stats.Add("evacuations_changed", 1)
	v.stats.Set("evacuated_data_centres", int64(len(list)))
	v.log.WithFields(logrus.Fields{"event": "evacuated", "data_centres": list, "offset": next, "source": source}).Warn()
}

// confirm records that the catalog was the newest at time at.
func (v *frontView) confirm(at mn.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedAt = max(v.confirmedAt, at)
}

// advance records that the catalog feed has been read up to offset next.
func (v *frontView) advance(next mn.Offset) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next = max(v.next, next)
}

// position returns the offset from which to read the catalog feed, and reports
// whether there is a catalog.
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
		_ = v.clock.Sleep(ctx, relay.RetryDelay(v.rank(), failures, v.peers.count()))
	}
	return nil
}

// readCatalog reads the catalog feed once and applies the changes. The catalog is
// confirmed only if the newest one in the feed could be read.
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
	var newestErr error
	for _, i := range items {
		if found, err := v.apply(i); found {
			newestErr = err
		}
	}
	if newestErr != nil {
		return newestErr // The offset stays, or the next read would find nothing and confirm the catalog.
	}
	confirmed := sent
	if !snapshot && len(items) == 0 && v.clock.Now()-sent >= catalogPollTimeout {
		// The store checks for changes once more at the end of the wait.
		confirmed = sent + catalogPollTimeout
	}
	v.readEvacuations(items, after, snapshot)
	v.advance(after)
	v.confirm(confirmed)
	if _, known := v.position(); !known {
		_ = v.clock.Sleep(ctx, emptyCatalogPause) // No configuration was written yet.
	}
	return nil
}

// setList puts a list of endpoints in force that was the newest at time at, unless
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
	cold := 0
	for _, e := range list {
		if e.ColdLeft > 0 {
			cold++
		}
	}
	v.log.WithFields(logrus.Fields{"event": "endpoints", "count": len(list), "cold": cold, "age_ms": v.clock.Now() - at}).Info()
}

// dependency logs and counts when a dependency is lost, and logs when it is back.
type dependency struct {
	log    *logrus.Entry
	f      *Front
	name   string
	lostAt mn.Millis
}

func newDependency(f *Front, peer, use string) *dependency {
	return &dependency{f: f, name: peer + "_" + use, log: f.log.WithFields(logrus.Fields{"dependency": peer, "use": use})}
}

// record records the result of a call.
func (d *dependency) record(err error) {
	now := d.f.clock.Now()
	if mn.CodeOf(err) == mn.RecordTooLarge {
		d.f.stats.Add("records_too_large", 1)
	}
	switch {
	case err != nil && d.lostAt == 0:
		d.lostAt = now
		d.f.stats.Add("lost_"+d.name, 1)
		d.log.WithField("event", "dependency_lost").Warn(err)
	case err == nil && d.lostAt > 0:
		d.log.WithFields(logrus.Fields{"event": "dependency_back", "away_ms": now - d.lostAt}).Info()
		d.lostAt = 0
	}
}
