package rates

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// DefaultMaxHolders is how many holders a bucket has at most by default.
const DefaultMaxHolders = 8

// division says which entries hold the shares of a customer's bucket, all of
// the same size.
type division struct {
	holders []mn.Member
}

// newDivision chooses the holders for c. Every entry is a holder while entries are
// few, and agents make up the number, so that the loss of an entry, or of all
// entries, leaves most of the bucket to lend from. No share is so small that it
// can't hold one request.
func newDivision(c mn.Customer, candidates candidateSet, limit int) division {
	limit = max(1, min(limit, int(c.Burst)))
	d := division{holders: topMembers(c.ID, candidates.entries, limit)}
	if rest := limit - len(d.holders); rest > 0 {
		d.holders = append(d.holders, topMembers(c.ID, candidates.agents, rest)...)
	}
	return d
}

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

// fraction returns vm's part of the bucket.
func (d division) fraction(vm mn.VMID) float64 {
	for _, m := range d.holders {
		if m.VM == vm {
			return 1 / float64(len(d.holders))
		}
	}
	return 0
}

// sameHolders says whether d and e divide the bucket alike.
func (d division) sameHolders(e division) bool {
	return slices.EqualFunc(d.holders, e.holders, func(x, y mn.Member) bool { return x.VM == y.VM })
}

// candidateSet has the processes that may hold shares.
type candidateSet struct {
	entries, agents []mn.Member
}

// candidatesOf returns the members of the roster that are not leaving.
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
