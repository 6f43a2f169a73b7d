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

// divide chooses the holders for c. Every entry is a holder while entries are
// few, and agents make up the number, so that the loss of an entry, or of all
// entries, leaves most of the bucket to lend from. No share is so small that it
// can't hold one request.
func divide(c mn.Customer, all members, limit int) division {
	limit = max(1, min(limit, int(c.Burst)))
	d := division{holders: top(c.ID, all.entries, limit)}
	if rest := limit - len(d.holders); rest > 0 {
		d.holders = append(d.holders, top(c.ID, all.agents, rest)...)
	}
	return d
}

func top(id mn.CustomerID, all []mn.Member, count int) []mn.Member {
	ids := make([]mn.VMID, 0, len(all))
	byID := make(map[mn.VMID]mn.Member, len(all))
	for _, m := range all {
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

// sameVMs says whether d and e divide the bucket alike.
func (d division) sameVMs(e division) bool {
	return slices.EqualFunc(d.holders, e.holders, func(x, y mn.Member) bool { return x.VM == y.VM })
}

// members has the processes that may hold shares.
type members struct {
	entries, agents []mn.Member
}

// membersOf returns the members of the roster that are not leaving.
func membersOf(v *mn.View) members {
	var all members
	for _, m := range v.Roster {
		switch {
		case v.IsLeaving(m):
		case m.Role == mn.RoleEntry:
			all.entries = append(all.entries, m)
		default:
			all.agents = append(all.agents, m)
		}
	}
	return all
}
