package duty

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"

	mn "mustardnotch"
)

// StoredRuns is a part of the run counts of all fronts in one window, as it is stored.
type StoredRuns struct {
	Window int64       `json:"window"`
	Fronts []FrontRuns `json:"fronts"`
}

// FrontRuns holds run counts of one incarnation of a front.
type FrontRuns struct {
	VM          mn.VMID                 `json:"vm"`
	Incarnation mn.Incarnation          `json:"incarnation"`
	Counts      map[mn.CustomerID]int64 `json:"counts"`
}

const (
	// maxStoredBytes bounds a part, whose record is about as long as its text: half of the
	// longest record of the store.
	maxStoredBytes = 128 << 10
	// countBytes and frontBytes are what a count and a front take in a part beyond their names.
	countBytes, frontBytes = 24, 64
)

// Parts returns what this front knows of all run counts in parts, by the key of their records
// within those of this front. Its own counts are listed under self and incarnation.
//
// Load pattern: tens of fronts count for tens of customers, and two of them store all counts a
// few times a second. A part has counts of one window only, and windows that have ended don't
// change any more, so that one or two parts are written at a time. The keys of old windows are
// used again.
func (r *RunCounter) Parts(self mn.VMID, incarnation mn.Incarnation) map[string]StoredRuns {
	r.mu.Lock()
	defer r.mu.Unlock()
	byWindow := map[int64][]FrontRuns{}
	add := func(vm mn.VMID, i mn.Incarnation, counts map[countKey]int64) {
		windows := map[int64]map[mn.CustomerID]int64{}
		for k, n := range counts {
			if windows[k.window] == nil {
				windows[k.window] = map[mn.CustomerID]int64{}
			}
			windows[k.window][k.customer] = n
		}
		for w, counts := range windows {
			byWindow[w] = append(byWindow[w], FrontRuns{VM: vm, Incarnation: i, Counts: counts})
		}
	}
	add(self, incarnation, r.own)
	for vm, byIncarnation := range r.peers {
		for i, counts := range byIncarnation {
			add(vm, i, counts)
		}
	}
	parts := map[string]StoredRuns{}
	for w, fronts := range byWindow {
		slices.SortFunc(fronts, func(a, b FrontRuns) int {
			return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
		})
		for n, part := range splitFronts(fronts) {
			parts[fmt.Sprintf("%d/%d", w%r.retainedWindows, n)] = StoredRuns{Window: w, Fronts: part}
		}
	}
	return parts
}

// splitFronts divides counts into lists that take maxStoredBytes at most.
func splitFronts(fronts []FrontRuns) [][]FrontRuns {
	var parts [][]FrontRuns
	var part []FrontRuns
	size := 0
	for _, f := range fronts {
		next := FrontRuns{VM: f.VM, Incarnation: f.Incarnation, Counts: map[mn.CustomerID]int64{}}
		frontSize := frontBytes + len(f.VM) + len(f.Incarnation)
		size += frontSize
		for _, c := range slices.Sorted(maps.Keys(f.Counts)) {
			if size+countBytes+len(c) > maxStoredBytes {
				parts, part, size = append(parts, append(part, next)), nil, frontSize
				next.Counts = map[mn.CustomerID]int64{}
			}
			next.Counts[c] = f.Counts[c]
			size += countBytes + len(c)
		}
		part = append(part, next)
	}
	return append(parts, part)
}

// Restore merges counts that a front stored, but not those of this front, whose incarnation is
// given. The fronts that counted need not run any more.
func (r *RunCounter) Restore(s StoredRuns, self mn.VMID, incarnation mn.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range s.Fronts {
		if f.VM == self && f.Incarnation == incarnation {
			continue
		}
		runs := make([]mn.RunCount, 0, len(f.Counts))
		for c, n := range f.Counts {
			runs = append(runs, mn.RunCount{Window: s.Window, Customer: c, Count: n})
		}
		r.merge(f.VM, f.Incarnation, runs)
	}
}

// lateWriteTime is how long after a write without an answer the store may still carry it out.
const lateWriteTime = 10 * mn.Second

// WriteLog records what a front has written to the store under each key, so that it writes
// only what has changed. The zero value has nothing written.
type WriteLog struct {
	written map[string][]byte
	// unsureUntil is until when an earlier write under a key may still take effect.
	unsureUntil map[string]mn.Millis
}

// Due reports whether value has to be written under key.
//
// Failure: the answer to a write is lost, and the store carries it out seconds later, after newer
// values of the key. So for that time a value is written again though it hasn't changed.
func (l *WriteLog) Due(key string, value []byte, now mn.Millis) bool {
	return now < l.unsureUntil[key] || !bytes.Equal(l.written[key], value)
}

// Record records the result of a write, of which refused says that the store has not carried it
// out and never will.
func (l *WriteLog) Record(key string, value []byte, ok, refused bool, now mn.Millis) {
	if l.written == nil {
		l.written, l.unsureUntil = map[string][]byte{}, map[string]mn.Millis{}
	}
	switch {
	case ok:
		l.written[key] = value
	case !refused:
		delete(l.written, key)
		l.unsureUntil[key] = now + lateWriteTime
	}
}
