// Package evac keeps the set of evacuated data centres.
//
// Load pattern: an operator evacuates a data centre and takes that back, while the answers of
// the store and the states of peers that say so arrive late, repeatedly and in any order.
package evac

import (
	"slices"

	mn "mustardnotch"
)

// Change is a record that evacuates a data centre or takes that back.
type Change struct {
	DataCentre mn.DataCentre
	Evacuated  bool
	// Offset is that of the record.
	Offset mn.Offset
}

// Register is the set of evacuated data centres as of an offset of the feed. It is not safe
// for concurrent use. The zero value knows nothing.
type Register struct {
	next mn.Offset
	set  map[mn.DataCentre]bool
}

// Apply applies the changes among the records up to offset next, in their order, and reports
// whether the set has changed. Records that were applied before are skipped.
func (r *Register) Apply(changes []Change, next mn.Offset) bool {
	set := r.copy()
	for _, c := range changes {
		switch {
		case c.Offset < r.next:
		case c.Evacuated:
			set[c.DataCentre] = true
		default:
			delete(set, c.DataCentre)
		}
	}
	return r.put(set, max(next, r.next))
}

// Replace replaces the set by the data centres whose newest record up to offset next evacuates
// them, unless a later offset is known, and reports whether the set has changed.
func (r *Register) Replace(evacuated []mn.DataCentre, next mn.Offset) bool {
	if next < r.next {
		return false
	}
	set := make(map[mn.DataCentre]bool, len(evacuated))
	for _, dc := range evacuated {
		set[dc] = true
	}
	return r.put(set, next)
}

// List returns the evacuated data centres, sorted, and the offset up to which they are known.
func (r *Register) List() ([]mn.DataCentre, mn.Offset) {
	out := make([]mn.DataCentre, 0, len(r.set))
	for dc := range r.set {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out, r.next
}

func (r *Register) copy() map[mn.DataCentre]bool {
	set := make(map[mn.DataCentre]bool, len(r.set))
	for dc := range r.set {
		set[dc] = true
	}
	return set
}

func (r *Register) put(set map[mn.DataCentre]bool, next mn.Offset) bool {
	changed := len(set) != len(r.set)
	for dc := range set {
		changed = changed || !r.set[dc]
	}
	r.set, r.next = set, next
	return changed
}
