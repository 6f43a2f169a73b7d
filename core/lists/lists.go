// Package lists maintains the list of endpoints from the platform's feed.
package lists

import (
	"fmt"
	"sort"

	mn "mustardnotch"
)

// relistWindow is how long running endpoints need to be listed again after an outage of
// the feed, with a margin for one read.
const relistWindow = 2300 * mn.Millisecond

// Decoder decodes an item of the feed. It returns an error if the item describes no
// usable endpoint.
type Decoder func(mn.Item) (mn.Endpoint, error)

// List is the list of endpoints. It is not safe for concurrent use.
type List struct {
	decode Decoder
	// outageAfter is the time without evidence of the feed, from this front's reads or
	// its peers', from which on it may have been out of service for everyone.
	outageAfter mn.Millis
	// failed reports whether a read has failed since the last evidence.
	failed bool
	byID   map[mn.EndpointID]entry
	// latest is the newest heartbeat of each endpoint that was ever listed. Older
	// heartbeats arrived late and are rejected.
	latest map[mn.EndpointID]heartbeat
	// readAt is the time of the last evidence, recoveredAt the end of the last outage.
	readAt, recoveredAt mn.Millis
}

type heartbeat struct {
	startedAt mn.Millis
	number    int64
}

type entry struct {
	mn.Endpoint
	// until is when an entry that was removed after an outage leaves the list, 0 while
	// it is listed.
	until mn.Millis
}

// New returns an empty list. An outage of the feed that may have cost endpoints their
// entries is one in which reads failed, and for at least outageAfter neither this front
// nor a peer had evidence. It must be longer than the time between two pieces of evidence
// while the feed serves only some fronts.
func New(decode Decoder, outageAfter mn.Millis) *List {
	return &List{decode: decode, outageAfter: outageAfter, byID: map[mn.EndpointID]entry{}, latest: map[mn.EndpointID]heartbeat{}}
}

// MarkRead records that the feed was read at now. Call it before applying the items of
// that read.
func (l *List) MarkRead(now mn.Millis) {
	if l.failed && l.readAt > 0 && now-l.readAt > l.outageAfter {
		l.recoveredAt = now
	}
	l.readAt, l.failed = now, false
}

// MarkFailed records that a read of the feed failed.
func (l *List) MarkFailed() { l.failed = true }

// Adopt replaces the list by that of a peer front, which was current at the instant at,
// unless this front has read the feed later.
func (l *List) Adopt(list []mn.Endpoint, at mn.Millis) {
	if at <= l.readAt {
		return
	}
	l.MarkRead(at)
	byID := make(map[mn.EndpointID]entry, len(list))
	for _, e := range list {
		n := entry{Endpoint: e, until: l.byID[e.ID].until}
		if e.Unlisted && n.until == 0 {
			n.until = at + relistWindow
		}
		byID[e.ID] = n
	}
	l.byID = byID
}

// Replace applies the newest items of all keys and removes endpoints without one. It
// returns the errors of the items that Apply rejected.
func (l *List) Replace(items []mn.Item, now mn.Millis) (errs []error) {
	listed := map[mn.EndpointID]bool{}
	for _, i := range items {
		listed[mn.EndpointID(i.Key)] = true
		if err := l.Apply(i, now); err != nil {
			errs = append(errs, err)
		}
	}
	for id := range l.byID {
		if !listed[id] {
			l.remove(id, now)
		}
	}
	return errs
}

// Apply applies one item, which removes the endpoint if it has no value. It returns an
// error if the item describes no usable endpoint, which also removes the endpoint, or if
// it arrived late.
func (l *List) Apply(i mn.Item, now mn.Millis) error {
	id := mn.EndpointID(i.Key)
	if len(i.Value) == 0 {
		l.remove(id, now)
		return nil
	}
	e, err := l.decode(i)
	if err != nil {
		delete(l.byID, id)
		return err
	}
	if last, ok := l.latest[id]; ok && (e.StartedAt < last.startedAt || e.StartedAt == last.startedAt && e.Heartbeat < last.number) {
		return fmt.Errorf("stale heartbeat %d of the run started at %d: the newest is heartbeat %d of the run started at %d", e.Heartbeat, e.StartedAt, last.number, last.startedAt)
	}
	l.latest[id] = heartbeat{e.StartedAt, e.Heartbeat}
	l.byID[id] = entry{Endpoint: e}
	return nil
}

// remove removes an endpoint from the list. A ready endpoint whose entry is lost within
// relistWindow after the end of an outage of the feed stays, marked as unlisted, until
// that window ends.
func (l *List) remove(id mn.EndpointID, now mn.Millis) {
	e, ok := l.byID[id]
	if !ok || e.until > 0 {
		return
	}
	if l.recoveredAt > 0 && now-l.recoveredAt < relistWindow && e.State == mn.EndpointReady {
		e.until, e.Unlisted = l.recoveredAt+relistWindow, true
		l.byID[id] = e
		return
	}
	delete(l.byID, id)
}

// Endpoints returns the list at now, sorted by id, and removes the unlisted endpoints
// whose relistWindow has ended.
func (l *List) Endpoints(now mn.Millis) []mn.Endpoint {
	out := make([]mn.Endpoint, 0, len(l.byID))
	for id, e := range l.byID {
		if e.until > 0 && now >= e.until {
			delete(l.byID, id)
			continue
		}
		out = append(out, e.Endpoint)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
