// Package relay decides which fronts read the platform's store, and which get
// the same data from other fronts.
//
// Load pattern: calls to the store are limited and paid for, and every front
// needs the same small set of data within one or two seconds. Two fronts, which
// all fronts choose identically, read the store at any time; the others ask
// them. A front whose data becomes old, because the readers are gone,
// partitioned from it or rejected by the store, reads the store itself until it
// receives newer data.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// ReaderCount is the number of fronts that read the store at any time. With
// two, the others do not notice the loss of one.
const ReaderCount = 2

// rankKey is the rendezvous hashing key by which fronts are ranked.
const rankKey = "readers"

// Rank returns the rank of a front among the fronts that are alive, from 0. The
// front counts as alive itself. Fronts that agree on which fronts are alive
// compute the same ranks.
func Rank(vm mn.VMID, alive []mn.VMID) int {
	if !slices.Contains(alive, vm) {
		alive = append(slices.Clone(alive), vm)
	}
	return slices.Index(rendez.Top(rankKey, alive, len(alive)), vm)
}

// ShouldRead reports whether a front reads the store itself. The first
// ReaderCount fronts by rank always do, the others while their data is older
// than maxAge.
func ShouldRead(rank int, age, maxAge mn.Millis) bool { return rank < ReaderCount || age > maxAge }

const (
	// minRetryDelay is the delay after a failed read. It is short compared with
	// the seconds within which a change must take effect once the store is back.
	minRetryDelay = 150 * mn.Millisecond
	// maxRetryDelay bounds the delay of a front that is not a reader, if there are up to
	// frontsPerRetry fronts, and in proportion if there are more. It may be longer
	// because the readers retry sooner, and the front gets newer data from whichever
	// front the store serves first.
	maxRetryDelay  = 900 * mn.Millisecond
	frontsPerRetry = 8
	// maxLongRetryDelay bounds the delay whatever the number of fronts.
	maxLongRetryDelay = 3600 * mn.Millisecond
)

// RetryDelay returns how long a front waits after the given number of
// consecutive failed reads, one of the given number of fronts. Readers retry at a
// constant interval, other fronts back off exponentially, so that the calls of all
// fronts don't grow with their number.
//
// Load pattern: the store is down for seconds, the data of all fronts becomes
// old, and each of them reads two feeds.
func RetryDelay(rank, failures, fronts int) mn.Millis {
	longest := min(maxLongRetryDelay, maxRetryDelay*mn.Millis(max(fronts, frontsPerRetry))/frontsPerRetry)
	delay := minRetryDelay
	for ; rank >= ReaderCount && failures > 1 && delay < longest; failures-- {
		delay *= 2
	}
	return min(longest, delay)
}

const (
	// urgentPerFront is multiplied by the number of fronts to get the minimum time between two
	// urgent updates to a peer in the same data centre.
	urgentPerFront = 1 * mn.Millisecond
	// maxRemoteUrgent bounds the urgent updates to peers in other data centres that all fronts
	// together send in a millisecond.
	maxRemoteUrgent = 3
)

// UrgentInterval returns the minimum time between two urgent updates to a peer, one of the
// given number of fronts. Updates within it are sent together.
//
// Load pattern: tens of fronts place long prompts many times a second, each of which the others
// should know of at once. In a data centre, what a front sends doesn't grow with their number.
// Between data centres, where traffic is charged for and which is the second choice for most
// requests, what all fronts send doesn't.
func UrgentInterval(fronts int, sameDataCentre bool) mn.Millis {
	n := mn.Millis(fronts)
	if sameDataCentre {
		return urgentPerFront * n
	}
	return max(urgentPerFront*n, n*n/maxRemoteUrgent)
}

// coldStep is the step in which fingerprints tell how long an endpoint stays cold. Smaller ones
// would have fronts fetch the list with each heartbeat of a cold endpoint.
const coldStep = 2 * mn.Second

// Fingerprint returns a hash that distinguishes lists of endpoints. The order
// of the list does not matter.
func Fingerprint(list []mn.Endpoint) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b mn.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	h := fnv.New64a()
	for _, e := range sorted {
		// Write on a hash never returns an error.
		h.Write([]byte(string(e.ID) + "\x00" + string(e.Pool) + "\x00" + e.Addr + "\x00" +
			string(e.DataCentre) + "\x00" + string(e.State) + "\x00" + string(e.Role) + "\x00"))
		var n [18]byte
		for i := range 8 {
			n[i] = byte(e.StartedAt >> (8 * i))
			n[8+i] = byte(e.Capacity >> (8 * i))
		}
		if e.Changing {
			n[16] = 1
		}
		n[17] = byte((e.ColdLeft + coldStep - 1) / coldStep)
		h.Write(n[:])
	}
	return h.Sum64()
}
