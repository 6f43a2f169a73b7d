package lease

import mn "mustardnotch"

// HoldsAt returns the term of e, and whether e holds the lease at the instant
// now of its clock.
func (e *Elector) HoldsAt(now mn.Millis) (mn.Term, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.holdsAt(now)
}
