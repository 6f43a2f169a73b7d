// Package relay decides which fronts read the platform's store, and which take
// what they need from other fronts.
//
// Load pattern: the store's calls are limited and paid for, and every front needs
// the same few facts within a second or two. Two fronts, the same ones in the
// eyes of all, read at any time; the others ask them. A front whose evidence
// grows old, because the readers are gone, cut off or turned away by the store,
// reads by itself until it hears of newer evidence.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// ReaderCount is how many fronts read at any time; with two, the loss of one is not
// noticed by the others.
const ReaderCount = 2

// rankKey is the key by which fronts are ranked.
const rankKey = "readers"

// Rank returns the place of a front among the fronts that are alive, from 0; it
// counts as one of them. All fronts that know the same ones alive agree on it.
func Rank(vm mn.VMID, alive []mn.VMID) int {
	if !slices.Contains(alive, vm) {
		alive = append(slices.Clone(alive), vm)
	}
	return slices.Index(rendez.Top(rankKey, alive, len(alive)), vm)
}

// ShouldRead says whether a front reads by itself: one of the first by rank always
// does, the others while their evidence is older than old.
func ShouldRead(rank int, age, old mn.Millis) bool { return rank < ReaderCount || age > old }

const (
	// minRetryDelay is the pause after a failed read: short beside the seconds in which
	// a change has to be in force once the store is back.
	minRetryDelay = 150 * mn.Millisecond
	// maxRetryDelay bounds the pause of a front that others read for; it hears of the
	// store's return from them sooner.
	maxRetryDelay = 900 * mn.Millisecond
)

// RetryDelay returns how long a front waits after so many failed reads in a row. The
// readers go on at a steady pace.
//
// Load pattern: the store is down for seconds, the evidence of all fronts grows
// old, and each of them reads two feeds.
func RetryDelay(rank, failures int) mn.Millis {
	pause := minRetryDelay
	for ; rank >= ReaderCount && failures > 1 && pause < maxRetryDelay; failures-- {
		pause *= 2
	}
	return min(maxRetryDelay, pause)
}

// Fingerprint returns a number that tells two lists of endpoints apart; the
// order does not matter.
func Fingerprint(list []mn.Endpoint) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b mn.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	h := fnv.New64a()
	for _, e := range sorted {
		// A hash never fails to write.
		h.Write([]byte(string(e.ID) + "\x00" + string(e.Pool) + "\x00" + e.Addr + "\x00" +
			string(e.DataCentre) + "\x00" + string(e.State) + "\x00" + string(e.Role) + "\x00"))
		var n [17]byte
		for i := range 8 {
			n[i] = byte(e.StartedAt >> (8 * i))
			n[8+i] = byte(e.Capacity >> (8 * i))
		}
		if e.Changing {
			n[16] = 1
		}
		h.Write(n[:])
	}
	return h.Sum64()
}
