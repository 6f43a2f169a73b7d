// Package lists keeps the list of endpoints as the platform's feed tells it.
package lists

import (
	"fmt"
	"sort"

	mn "mustardnotch"
)

const (
	// outageAfter is how long reads of the feed must have failed for entries to
	// count as lapsed by that: a beat of the endpoints.
	outageAfter = 1200 * mn.Millisecond
	// relistWindow is how long after the feed's return living endpoints need to be
	// back on it, with a margin for one read.
	relistWindow = 2300 * mn.Millisecond
)

// Decoder decodes an item of the feed. Its error says why the item names no
// endpoint that can be used.
type Decoder func(mn.Item) (mn.Endpoint, error)

// List is the list of endpoints. It is not safe for concurrent use.
type List struct {
	decode Decoder
	byID   map[mn.EndpointID]entry
	// latest is the newest run and beat of each endpoint ever listed; what is
	// older comes late.
	latest map[mn.EndpointID]heartbeat
	// readAt is the last read that succeeded, recoveredAt the end of the last time
	// in which none did.
	readAt, recoveredAt mn.Millis
}

type heartbeat struct {
	startedAt mn.Millis
	number    int64
}

type entry struct {
	mn.Endpoint
	// unlistedAt is when the entry was removed around an outage, 0 while listed.
	unlistedAt mn.Millis
}

// New returns an empty list.
func New(decode Decoder) *List {
	return &List{decode: decode, byID: map[mn.EndpointID]entry{}, latest: map[mn.EndpointID]heartbeat{}}
}

// MarkRead notes that the feed was read at now. Call it before the items of that
// read are applied.
func (l *List) MarkRead(now mn.Millis) {
	if l.readAt > 0 && now-l.readAt > outageAfter {
		l.recoveredAt = now
	}
	l.readAt = now
}

// Adopt takes in a list that was the newest at instant at by the word of another
// front, unless this one was read later.
func (l *List) Adopt(list []mn.Endpoint, at mn.Millis) {
	if at <= l.readAt {
		return
	}
	l.MarkRead(at)
	byID := make(map[mn.EndpointID]entry, len(list))
	for _, e := range list {
		byID[e.ID] = entry{Endpoint: e, unlistedAt: l.byID[e.ID].unlistedAt}
		if e.Unlisted && byID[e.ID].unlistedAt == 0 {
			byID[e.ID] = entry{Endpoint: e, unlistedAt: at}
		}
	}
	l.byID = byID
}

// Replace takes in the newest items of all keys.
func (l *List) Replace(items []mn.Item, now mn.Millis) (faults []error) {
	listed := map[mn.EndpointID]bool{}
	for _, i := range items {
		listed[mn.EndpointID(i.Key)] = true
		if err := l.Apply(i, now); err != nil {
			faults = append(faults, err)
		}
	}
	for id := range l.byID {
		if !listed[id] {
			l.remove(id, now)
		}
	}
	return faults
}

// Apply takes in one item. Its error says why an item names no endpoint.
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
		return fmt.Errorf("beat %d of the run of %d came after beat %d of the run of %d", e.Heartbeat, e.StartedAt, last.number, last.startedAt)
	}
	l.latest[id] = heartbeat{e.StartedAt, e.Heartbeat}
	l.byID[id] = entry{Endpoint: e}
	return nil
}

// remove takes an endpoint off the list. One whose entry was lost around an
// outage of the feed stays until it had time to come back.
func (l *List) remove(id mn.EndpointID, now mn.Millis) {
	e, ok := l.byID[id]
	if !ok || e.unlistedAt > 0 {
		return
	}
	if l.recoveredAt > 0 && now-l.recoveredAt < relistWindow && e.State == mn.EndpointReady {
		e.unlistedAt, e.Unlisted = now, true
		l.byID[id] = e
		return
	}
	delete(l.byID, id)
}

// Endpoints returns the list at now, in the order of ids.
func (l *List) Endpoints(now mn.Millis) []mn.Endpoint {
	out := make([]mn.Endpoint, 0, len(l.byID))
	for id, e := range l.byID {
		if e.unlistedAt > 0 && now-l.recoveredAt >= relistWindow {
			delete(l.byID, id)
			continue
		}
		out = append(out, e.Endpoint)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
