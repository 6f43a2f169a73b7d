// Package lease elects one control holder by the order of records in the
// platform's log.
//
// The log offers no conditional append, so the order of records decides: the
// first claim that names the last valid record of the current lease wins, and
// its offset becomes the term. A renewal that is appended after such a claim is
// void.
package lease

import mn "mustardnotch"

// Apply returns the lease after the record r at offset off, and whether r was
// valid. An invalid record is void and leaves the lease unchanged, as does a
// record that does not concern the lease, which is valid.
func Apply(l mn.Lease, off mn.Offset, r *mn.Record) (mn.Lease, bool) {
	switch {
	case r.Claim != nil:
		return applyClaim(l, off, r)
	case r.Renewal != nil:
		if !owns(l, r.Writer, r.Renewal.Term, r.Renewal.Incarnation) {
			return l, false
		}
		l.Last = off
		return l, true
	case r.Release != nil:
		if !owns(l, r.Writer, r.Release.Term, r.Release.Incarnation) {
			return l, false
		}
		return mn.Lease{Last: off}, true
	}
	return l, true
}

func applyClaim(l mn.Lease, off mn.Offset, r *mn.Record) (mn.Lease, bool) {
	if r.Claim.Replaces != l.Last || r.Claim.TTL <= 0 {
		return l, false
	}
	return mn.Lease{
		Holder:      r.Writer,
		Incarnation: r.Claim.Incarnation,
		Term:        mn.Term(off),
		Last:        off,
		TTL:         r.Claim.TTL,
	}, true
}

func owns(l mn.Lease, vm mn.VMID, term mn.Term, inc mn.Incarnation) bool {
	return l.Term != 0 && l.Holder == vm && l.Term == term && l.Incarnation == inc
}
