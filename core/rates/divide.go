package rates

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// DefaultMaxHolders is the default maximum number of holders of a bucket.
const DefaultMaxHolders = 8

// division lists the members that hold equal shares of a customer's bucket.
type division struct {
	holders []mn.Member
}

// newDivision chooses at most limit holders for c. Entries come first and agents
// fill the remaining places, so that the loss of one entry, or of all of them
// while they are few, leaves most of the bucket to borrow from. There are at most
// as many holders as the burst has requests, but one at least, because a share
// must be large enough for one request.
func newDivision(c mn.Customer, candidates candidateSet, limit int) division {
	limit = max(1, min(limit, int(c.Burst)))
	d := division{holders: topMembers(c.ID, candidates.entries, limit)}
	if rest := limit - len(d.holders); rest > 0 {
		d.holders = append(d.holders, topMembers(c.ID, candidates.agents, rest)...)
	}
	return d
}

// topMembers returns the count candidates with the highest rendezvous hash for id.
func topMembers(id mn.CustomerID, candidates []mn.Member, count int) []mn.Member {
	ids := make([]mn.VMID, 0, len(candidates))
	byID := make(map[mn.VMID]mn.Member, len(candidates))
	for _, m := range candidates {
		ids = append(ids, m.VM)
		byID[m.VM] = m
	}
	var chosen []mn.Member
	for _, id := range rendez.Top(string(id), ids, min(count, len(ids))) {
		chosen = append(chosen, byID[id])
	}
	return chosen
}

// fraction returns the part of the bucket that vm holds, 0 if it is no holder.
func (d division) fraction(vm mn.VMID) float64 {
	for _, m := range d.holders {
		if m.VM == vm {
			return 1 / float64(len(d.holders))
		}
	}
	return 0
}

// sameHolders reports whether the holders of d and e are on the same VMs, in the
// same order.
func (d division) sameHolders(e division) bool {
	return slices.EqualFunc(d.holders, e.holders, func(x, y mn.Member) bool { return x.VM == y.VM })
}

// candidateSet has the members that may hold shares.
type candidateSet struct {
	entries, agents []mn.Member
}

// candidatesOf returns the members of v's roster that are not leaving.
func candidatesOf(v *mn.View) candidateSet {
	var candidates candidateSet
	for _, m := range v.Roster {
		switch {
		case v.IsLeaving(m):
		case m.Role == mn.RoleEntry:
			candidates.entries = append(candidates.entries, m)
		default:
			candidates.agents = append(candidates.agents, m)
		}
	}
	return candidates
}
