package duty

import (
	"sync"

	mn "mustardnotch"
)

const (
	// extraWindows is how many windows are sent and retained beyond those whose
	// reports are not overdue yet, for a holder that takes over late.
	extraWindows = 4
	// minClockStep is the deviation of the wall clock from the monotonic clock that
	// counts as a step, and clockStepDelay how long a step must last before it is
	// followed, since most steps are reverted.
	minClockStep   = 250 * mn.Millisecond
	clockStepDelay = 20 * mn.Second
)

// RunCounter counts requests that began to run, by window and customer, at all fronts.
// It is safe for concurrent use.
type RunCounter struct {
	clock  mn.Clock
	window mn.Millis
	// retainedWindows is how many windows are sent and retained.
	retainedWindows int64

	mu sync.Mutex
	// wallOffset is the wall clock less the monotonic clock; steppedAt is when a step of
	// the wall clock was first seen, 0 if there is none.
	wallOffset mn.Millis
	steppedAt  mn.Millis
	own        map[countKey]int64
	peers      map[mn.VMID]map[mn.Incarnation]map[countKey]int64
	receivedAt map[mn.VMID]mn.Millis
}

type countKey struct {
	window   int64
	customer mn.CustomerID
}

// NewRunCounter returns an empty RunCounter. The parameter window is the duration of
// the windows, and late is how long after a window's end its report is due.
func NewRunCounter(window, late mn.Millis, clock mn.Clock) *RunCounter {
	return &RunCounter{
		clock:           clock,
		window:          window,
		retainedWindows: int64(late/window) + extraWindows,
		wallOffset:      clock.Wall() - clock.Now(),
		own:             map[countKey]int64{},
		peers:           map[mn.VMID]map[mn.Incarnation]map[countKey]int64{},
		receivedAt:      map[mn.VMID]mn.Millis{},
	}
}

// Wall returns the wall-clock time. It follows a step of the VM's clock only once
// the step has lasted for clockStepDelay.
func (r *RunCounter) Wall() mn.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wall()
}

func (r *RunCounter) wall() mn.Millis {
	now := r.clock.Now()
	offset := r.clock.Wall() - now
	switch gap := offset - r.wallOffset; {
	case gap < minClockStep && gap > -minClockStep:
		r.wallOffset, r.steppedAt = offset, 0
	case r.steppedAt == 0:
		r.steppedAt = now
	case now-r.steppedAt > clockStepDelay:
		r.wallOffset, r.steppedAt = offset, 0
	}
	return now + r.wallOffset
}

// UntilTurn returns how long a writer waits for its next turn. Each writer writes once in
// an interval, and the turns of writers with different ranks are evenly spaced by the wall
// clock.
func UntilTurn(wall mn.Millis, rank, writers int, interval mn.Millis) mn.Millis {
	phase := interval * mn.Millis(rank%writers) / mn.Millis(writers)
	return interval - (wall-phase)%interval
}

// CountStart counts a request of a customer that starts to run now. It ignores requests
// without a customer.
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

// prune deletes the counts of windows before oldest.
func prune(counts map[countKey]int64, oldest int64) {
	for k := range counts {
		if k.window < oldest {
			delete(counts, k)
		}
	}
}

// Own returns this front's counts in no particular order.
func (r *RunCounter) Own() []mn.RunCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toRunCounts(r.own)
}

// ReceiveState merges a peer front's counts, if the state has them. Those of its earlier
// incarnations stay.
func (r *RunCounter) ReceiveState(f mn.FrontState) {
	if !f.HasRuns {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivedAt[f.VM] = r.wall()
	r.merge(f.VM, f.Incarnation, f.Runs)
}

// merge merges counts of an incarnation of a front.
func (r *RunCounter) merge(vm mn.VMID, incarnation mn.Incarnation, runs []mn.RunCount) {
	byIncarnation := r.peers[vm]
	if byIncarnation == nil {
		byIncarnation = map[mn.Incarnation]map[countKey]int64{}
		r.peers[vm] = byIncarnation
	}
	counts := byIncarnation[incarnation]
	if counts == nil {
		counts = map[countKey]int64{}
		byIncarnation[incarnation] = counts
	}
	for _, n := range runs {
		k := countKey{n.Window, n.Customer}
		counts[k] = max(counts[k], n.Count)
	}
	prune(counts, int64(r.wall()/r.window)-r.retainedWindows)
}

func toRunCounts(counts map[countKey]int64) []mn.RunCount {
	out := make([]mn.RunCount, 0, len(counts))
	for k, n := range counts {
		out = append(out, mn.RunCount{Window: k.window, Customer: k.customer, Count: n})
	}
	return out
}

// Total returns the counts of a window over all fronts, and the number of the given
// fronts from which no state was received since the window ended.
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
