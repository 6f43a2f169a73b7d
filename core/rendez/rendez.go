// Package rendez chooses members for keys by rendezvous hashing.
//
// All processes that know the same members choose the same one for a key. A member
// that joins or leaves moves only the keys that it gains or loses.
package rendez

import (
	"cmp"
	"slices"

	mn "mustardnotch"
)

// FNV-1a, 64 bits.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// Home returns the member with the highest score for key, whatever the order of
// members. It returns false if there are no members.
func Home(key string, members []mn.VMID) (mn.VMID, bool) {
	var best mn.VMID
	var highest uint64
	for i, m := range members {
		s := score(key, m)
		if i == 0 || s > highest || s == highest && m < best {
			best, highest = m, s
		}
	}
	return best, len(members) > 0
}

// Top returns the count members with the highest scores for key, best first. It
// returns all members if there are fewer.
func Top[ID ~string](key string, members []ID, count int) []ID {
	return TopBy(key, members, count, func(id ID) ID { return id })
}

// TopBy is like [Top] for members whose id is returned by the function id.
func TopBy[M any, ID ~string](key string, members []M, count int, id func(M) ID) []M {
	type scored struct {
		member M
		id     ID
		score  uint64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{m, id(m), score(key, id(m))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	top := make([]M, 0, count)
	for _, s := range all[:min(count, len(all))] {
		top = append(top, s.member)
	}
	return top
}

func score[ID ~string](key string, member ID) uint64 {
	h := hash(fnvOffset, string(member))
	h = hash(h*fnvPrime, key)
	return mix(h)
}

func hash(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// mix is the finalizer of MurmurHash3. Without it, the high bits of FNV-1a hardly
// depend on the last bytes of the input.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
