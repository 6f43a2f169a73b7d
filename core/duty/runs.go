package duty

import (
	"cmp"
	"slices"
	"sync"

	mn "mustardnotch"
)

const (
	// extraWindows is how many windows are told and remembered beyond those whose
	// reports are not yet late: for a holder that takes over late.
	extraWindows = 4
	// minClockStep is how far the time of day must be from where the steady clock
	// puts it to count as a step, and clockStepDelay how long a step must last to be
	// believed: steps are mostly taken back.
	minClockStep   = 250 * mn.Millisecond
	clockStepDelay = 20 * mn.Second
)

// RunCounter counts requests that began to run, by window and customer, at all fronts.
// It is safe for concurrent use.
type RunCounter struct {
	clock  mn.Clock
	window mn.Millis
	// retainedWindows is how many windows are told and remembered.
	retainedWindows int64

	mu sync.Mutex
	// offset is the time of day less the steady clock; steppedAt is when the
	// time of day was first seen elsewhere, 0 while it is not.
	offset     mn.Millis
	steppedAt  mn.Millis
	own        map[countKey]int64
	peers      map[mn.VMID]map[mn.Incarnation]map[countKey]int64
	receivedAt map[mn.VMID]mn.Millis
}

type countKey struct {
	window   int64
	customer mn.CustomerID
}

// NewRunCounter returns an empty count with windows of the given span, whose reports
// are due late after their end.
func NewRunCounter(window, late mn.Millis, clock mn.Clock) *RunCounter {
	return &RunCounter{
		clock:           clock,
		window:          window,
		retainedWindows: int64(late/window) + extraWindows,
		offset:          clock.Wall() - clock.Now(),
		own:             map[countKey]int64{},
		peers:           map[mn.VMID]map[mn.Incarnation]map[countKey]int64{},
		receivedAt:      map[mn.VMID]mn.Millis{},
	}
}

// Wall returns the time of day, not following a step of the machine's clock
// unless it stays.
func (r *RunCounter) Wall() mn.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wall()
}

func (r *RunCounter) wall() mn.Millis {
	now := r.clock.Now()
	offset := r.clock.Wall() - now
	switch gap := offset - r.offset; {
	case gap < minClockStep && gap > -minClockStep:
		r.offset, r.steppedAt = offset, 0
	case r.steppedAt == 0:
		r.steppedAt = now
	case now-r.steppedAt > clockStepDelay:
		r.offset, r.steppedAt = offset, 0
	}
	return now + r.offset
}

// UntilTurn returns how long a writer waits for its next turn, so that several of them
// that write every so often do so at even distances, by the time of day.
func UntilTurn(wall mn.Millis, rank, writers int, every mn.Millis) mn.Millis {
	phase := every * mn.Millis(rank%writers) / mn.Millis(writers)
	return every - (wall-phase)%every
}

// CountStart counts a request of customer that began to run now.
func (r *RunCounter) CountStart(c mn.CustomerID) {
	if c == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := countKey{int64(r.wall() / r.window), c}
	r.own[k]++
	if r.own[k] == 1 {
		prune(r.own, k.window-r.retainedWindows)
	}
}

// prune drops the counts of windows before oldest.
func prune(counts map[countKey]int64, oldest int64) {
	for k := range counts {
		if k.window < oldest {
			delete(counts, k)
		}
	}
}

// Own returns this front's counts in no order.
func (r *RunCounter) Own() []mn.RunCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toRunCounts(r.own)
}

// ReceiveState takes in another front's counts. Those of an earlier incarnation stay.
func (r *RunCounter) ReceiveState(f mn.FrontState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivedAt[f.VM] = r.wall()
	r.merge(f)
}

// Restore takes in counts that a front wrote down; it need not live any more.
func (r *RunCounter) Restore(f mn.FrontState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merge(f)
}

func (r *RunCounter) merge(f mn.FrontState) {
	byIncarnation := r.peers[f.VM]
	if byIncarnation == nil {
		byIncarnation = map[mn.Incarnation]map[countKey]int64{}
		r.peers[f.VM] = byIncarnation
	}
	counts := byIncarnation[f.Incarnation]
	if counts == nil {
		counts = map[countKey]int64{}
		byIncarnation[f.Incarnation] = counts
	}
	for _, n := range f.Runs {
		k := countKey{n.Window, n.Customer}
		counts[k] = max(counts[k], n.Count)
	}
	prune(counts, int64(r.wall()/r.window)-r.retainedWindows)
}

// Snapshot returns the counts of every front's incarnations that this front knows,
// its own as those of self.
func (r *RunCounter) Snapshot(self mn.VMID, incarnation mn.Incarnation) []mn.FrontState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []mn.FrontState{{VM: self, Incarnation: incarnation, Runs: toSortedRunCounts(r.own)}}
	for vm, byIncarnation := range r.peers {
		for i, counts := range byIncarnation {
			if len(counts) > 0 {
				out = append(out, mn.FrontState{VM: vm, Incarnation: i, Runs: toSortedRunCounts(counts)})
			}
		}
	}
	slices.SortFunc(out, func(a, b mn.FrontState) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

func toRunCounts(counts map[countKey]int64) []mn.RunCount {
	out := make([]mn.RunCount, 0, len(counts))
	for k, n := range counts {
		out = append(out, mn.RunCount{Window: k.window, Customer: k.customer, Count: n})
	}
	return out
}

func toSortedRunCounts(counts map[countKey]int64) []mn.RunCount {
	out := toRunCounts(counts)
	slices.SortFunc(out, func(a, b mn.RunCount) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Customer, b.Customer))
	})
	return out
}

// Total returns the counts of a window at all fronts, and the fronts among
// those given that were not heard since the window ended.
func (r *RunCounter) Total(window int64, fronts []mn.VMID) (counts map[mn.CustomerID]int64, silent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts = map[mn.CustomerID]int64{}
	add := func(from map[countKey]int64) {
		for k, n := range from {
			if k.window == window {
				counts[k.customer] += n
			}
		}
	}
	add(r.own)
	for _, byIncarnation := range r.peers {
		for _, c := range byIncarnation {
			add(c)
		}
	}
	end := mn.Millis(window+1) * r.window
	for _, vm := range fronts {
		if r.receivedAt[vm] < end {
			silent++
		}
	}
	return counts, silent
}
