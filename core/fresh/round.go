package fresh

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"

	mn "mustardnotch"
)

// establishRounds is after how many rounds any process establishes a changed
// roster by itself, should the control holder not have done it.
const establishRounds = 12

// Run hears from peers whenever other evidence grows old or a change has to be
// established, until ctx is done.
func (m *Monitor) Run(ctx context.Context) error {
	behind := 0
	for ctx.Err() == nil {
		kicked := m.pause(ctx)
		behind = m.roundsBehind(behind)
		if kicked || behind >= establishRounds || behind > 0 && m.holdsControl() {
			m.askAll(ctx)
			continue
		}
		m.refresh(ctx)
	}
	return ctx.Err()
}

// roundsBehind counts rounds while the roster has changed since the last
// established offset. Rosters are kept established so that few of them have to
// be asked when a key is withdrawn.
func (m *Monitor) roundsBehind(before int) int {
	if rosters, _ := m.folds.RostersSince(m.Established()); len(rosters) > 1 {
		return before + 1
	}
	return 0
}

func (m *Monitor) holdsControl() bool {
	return m.folds.View().Lease.Holder == m.vm
}

// pause waits for the next round and says whether it was asked for.
func (m *Monitor) pause(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slept := make(chan struct{})
	go func() {
		defer close(slept)
		_ = m.clock.Sleep(ctx, m.params.ProbeInterval)
	}()
	select {
	case <-m.kick:
		return true
	case <-slept:
		return false
	}
}

// refresh renews evidence that has grown old: anchors from a majority, other
// processes from the anchors, and from a majority where those are of no help.
func (m *Monitor) refresh(ctx context.Context) {
	first, second := 2*m.params.ProbeInterval, m.params.MaxStaleness/2
	if !m.olderThan(first) {
		return
	}
	if m.IsAnchor() {
		m.askAll(ctx)
		return
	}
	m.ask(ctx, m.anchors())
	if m.olderThan(second) {
		m.askAll(ctx)
	}
}

// IsAnchor says whether the process is one of the few entries that read the
// log, and hear from a majority, on behalf of all.
func (m *Monitor) IsAnchor() bool {
	return slices.ContainsFunc(m.anchors(), func(a mn.Member) bool { return a.VM == m.vm })
}

func (m *Monitor) olderThan(span mn.Millis) bool {
	age, ok := m.EvidenceAge()
	return !ok || age > span
}

// anchors returns the entries that hear from a majority on behalf of all, the
// same ones in every process with the same roster.
func (m *Monitor) anchors() []mn.Member {
	entries := m.folds.View().Entries()
	slices.SortFunc(entries, func(a, b mn.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return entries[:min(m.params.Anchors, len(entries))]
}

func rank(m mn.Member) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.Incarnation))
	return h.Sum64()
}

// member names one run of a process.
type member struct {
	vm          mn.VMID
	incarnation mn.Incarnation
}

// heard is the outcome of telling several peers the same.
type heard struct {
	mu      sync.Mutex
	told    map[member]bool
	highest mn.Offset
	// chained is the best evidence that a current peer passed on.
	chained   mn.Millis
	isChained bool
}

// add records a's answer to what was sent at stamp.
func (h *heard) add(stamp mn.Millis, a ProbeReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[member{a.VM, a.Incarnation}] = true
	h.highest = max(h.highest, a.Offset)
	if !a.Current {
		return
	}
	if at := stamp - a.Age; !h.isChained || at > h.chained {
		h.chained = at
		h.isChained = true
	}
}

// askAll tells every member of the roster, which may prove that the process is
// current and establishes what it has folded.
func (m *Monitor) askAll(ctx context.Context) {
	view := m.folds.View()
	var all []mn.Member
	for _, p := range view.Roster {
		all = append(all, p)
	}
	stamp, h := m.hear(ctx, all, view.Offset, m.Established())
	established := view.Offset > m.Established() && m.establishes(h.told, view)
	m.conclude(ctx, stamp, h, true)
	if !established {
		return
	}
	// Members of earlier rosters may all be lost as soon as the change is
	// acknowledged; the others could then establish nothing by themselves.
	m.hear(ctx, all, view.Offset, view.Offset)
	m.ObserveEstablished(view.Offset)
}

// ask tells only some peers, whose own evidence counts if they are current.
func (m *Monitor) ask(ctx context.Context, peers []mn.Member) {
	stamp, h := m.hear(ctx, peers, m.folds.View().Offset, m.Established())
	m.conclude(ctx, stamp, h, false)
}

// hear tells the peers which offset is folded and which is established, and
// returns the instant before the first was told.
func (m *Monitor) hear(ctx context.Context, peers []mn.Member, folded, established mn.Offset) (mn.Millis, *heard) {
	ctx, cancel := context.WithTimeout(ctx, m.params.ProbeTimeout.Duration())
	defer cancel()
	told := ProbeRequest{VM: m.vm, Incarnation: m.incarnation, Offset: folded, Established: established}
	h := &heard{told: map[member]bool{{m.vm, m.incarnation}: true}, highest: m.HighestKnown()}
	hearer := m.hearer
	stamp := m.clock.Now()
	var wait sync.WaitGroup
	for _, p := range peers {
		if p.VM == m.vm {
			continue
		}
		wait.Go(func() {
			a, err := hearer.Probe(ctx, p, told)
			if err != nil {
				return
			}
			m.ObserveEstablished(a.Established)
			h.add(stamp, a)
		})
	}
	wait.Wait()
	return stamp, h
}

// conclude draws evidence from what was heard once the fold has caught up with
// the highest offset that any peer knew.
func (m *Monitor) conclude(ctx context.Context, stamp mn.Millis, h *heard, counts bool) {
	m.mu.Lock()
	m.known = max(m.known, h.highest)
	m.mu.Unlock()
	view, ok := m.awaitFold(ctx, h.highest)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.isChained {
		m.proveLocked(h.chained, false)
	}
	if counts && isMajority(view.Roster, h.told) {
		m.proveLocked(stamp, true)
	}
}

// awaitFold waits for one timeout until the fold reaches off.
func (m *Monitor) awaitFold(ctx context.Context, off mn.Offset) (*mn.View, bool) {
	ctx, cancel := context.WithTimeout(ctx, m.params.ProbeTimeout.Duration())
	defer cancel()
	for {
		changed := m.folds.Changed()
		view := m.folds.View()
		if view.Offset >= off {
			return view, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-changed:
		}
	}
}

// isMajority says whether more than half of the roster is among told.
func isMajority(roster map[mn.VMID]mn.Member, told map[member]bool) bool {
	n := 0
	for _, p := range roster {
		if told[member{p.VM, p.Incarnation}] {
			n++
		}
	}
	return 2*n > len(roster)
}

// establishes says whether every majority of every roster that a process may
// still act on has a member among told. Members that have left the present
// roster run no more, so they are in no majority.
func (m *Monitor) establishes(told map[member]bool, view *mn.View) bool {
	rosters, whole := m.folds.RostersSince(m.Established())
	if !whole {
		return false
	}
	alive := map[member]bool{}
	for _, p := range view.Roster {
		alive[member{p.VM, p.Incarnation}] = true
	}
	for _, r := range rosters {
		untold := 0
		for _, p := range r {
			k := member{p.VM, p.Incarnation}
			if alive[k] && !told[k] {
				untold++
			}
		}
		if 2*untold > len(r) {
			return false
		}
	}
	return true
}
