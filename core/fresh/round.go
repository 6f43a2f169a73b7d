package fresh

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"

	mn "mustardnotch"
)

// maxUnestablishedRounds is after how many rounds any process establishes a changed
// roster by itself, should the control holder not have done it.
const maxUnestablishedRounds = 12

// Run hears from peers whenever other evidence grows old or a change has to be
// established, until ctx is done.
func (m *Monitor) Run(ctx context.Context) error {
	behind := 0
	for ctx.Err() == nil {
		kicked := m.waitForRound(ctx)
		behind = m.countUnestablishedRounds(behind)
		if kicked || behind >= maxUnestablishedRounds || behind > 0 && m.holdsControl() {
			m.probeAll(ctx)
			continue
		}
		m.refreshEvidence(ctx)
	}
	return ctx.Err()
}

// countUnestablishedRounds counts rounds while the roster has changed since the last
// established offset. Rosters are kept established so that few of them have to
// be asked when a key is withdrawn.
func (m *Monitor) countUnestablishedRounds(before int) int {
	if rosters, _ := m.state.RostersSince(m.Established()); len(rosters) > 1 {
		return before + 1
	}
	return 0
}

func (m *Monitor) holdsControl() bool {
	return m.state.View().Lease.Holder == m.vm
}

// waitForRound waits for the next round and says whether it was asked for.
func (m *Monitor) waitForRound(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slept := make(chan struct{})
	go func() {
		defer close(slept)
		_ = m.clock.Sleep(ctx, m.params.ProbeInterval)
	}()
	select {
	case <-m.roundRequests:
		return true
	case <-slept:
		return false
	}
}

// refreshEvidence renews evidence that has grown old: anchors from a majority, other
// processes from the anchors, and from a majority where those are of no help.
func (m *Monitor) refreshEvidence(ctx context.Context) {
	first, second := 2*m.params.ProbeInterval, m.params.MaxStaleness/2
	if !m.evidenceOlderThan(first) {
		return
	}
	if m.IsAnchor() {
		m.probeAll(ctx)
		return
	}
	m.probePeers(ctx, m.anchors())
	if m.evidenceOlderThan(second) {
		m.probeAll(ctx)
	}
}

// IsAnchor says whether the process is one of the few entries that read the
// log, and hear from a majority, on behalf of all.
func (m *Monitor) IsAnchor() bool {
	return slices.ContainsFunc(m.anchors(), func(a mn.Member) bool { return a.VM == m.vm })
}

func (m *Monitor) evidenceOlderThan(span mn.Millis) bool {
	age, ok := m.EvidenceAge()
	return !ok || age > span
}

// anchors returns the entries that hear from a majority on behalf of all, the
// same ones in every process with the same roster.
func (m *Monitor) anchors() []mn.Member {
	entries := m.state.View().Entries()
	slices.SortFunc(entries, func(a, b mn.Member) int { return cmp.Compare(anchorRank(a), anchorRank(b)) })
	return entries[:min(m.params.Anchors, len(entries))]
}

func anchorRank(m mn.Member) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.Incarnation))
	return h.Sum64()
}

// memberRun names one run of a process.
type memberRun struct {
	vm          mn.VMID
	incarnation mn.Incarnation
}

// roundResult is the outcome of telling several peers the same.
type roundResult struct {
	mu           sync.Mutex
	reached      map[memberRun]bool
	highestKnown mn.Offset
	// peerEvidenceAt is the best evidence that a current peer passed on.
	peerEvidenceAt  mn.Millis
	hasPeerEvidence bool
}

// addReply records a's answer to what was sent at stamp.
func (h *roundResult) addReply(stamp mn.Millis, a ProbeReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reached[memberRun{a.VM, a.Incarnation}] = true
	h.highestKnown = max(h.highestKnown, a.Offset)
	if !a.Current {
		return
	}
	if at := stamp - a.Age; !h.hasPeerEvidence || at > h.peerEvidenceAt {
		h.peerEvidenceAt = at
		h.hasPeerEvidence = true
	}
}

// probeAll tells every member of the roster, which may prove that the process is
// current and establishes what it has folded.
func (m *Monitor) probeAll(ctx context.Context) {
	view := m.state.View()
	var all []mn.Member
	for _, p := range view.Roster {
		all = append(all, p)
	}
	stamp, h := m.probe(ctx, all, view.Offset, m.Established())
	established := view.Offset > m.Established() && m.isEstablishedBy(h.reached, view)
	m.recordRoundEvidence(ctx, stamp, h, true)
	if !established {
		return
	}
	// Members of earlier rosters may all be lost as soon as the change is
	// acknowledged; the others could then establish nothing by themselves.
	m.probe(ctx, all, view.Offset, view.Offset)
	m.ObserveEstablished(view.Offset)
}

// probePeers tells only some peers, whose own evidence counts if they are current.
func (m *Monitor) probePeers(ctx context.Context, peers []mn.Member) {
	stamp, h := m.probe(ctx, peers, m.state.View().Offset, m.Established())
	m.recordRoundEvidence(ctx, stamp, h, false)
}

// probe tells the peers which offset is folded and which is established, and
// returns the instant before the first was told.
func (m *Monitor) probe(ctx context.Context, peers []mn.Member, folded, established mn.Offset) (mn.Millis, *roundResult) {
	ctx, cancel := context.WithTimeout(ctx, m.params.ProbeTimeout.Duration())
	defer cancel()
	told := ProbeRequest{VM: m.vm, Incarnation: m.incarnation, Offset: folded, Established: established}
	h := &roundResult{reached: map[memberRun]bool{{m.vm, m.incarnation}: true}, highestKnown: m.HighestKnown()}
	hearer := m.prober
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
			h.addReply(stamp, a)
		})
	}
	wait.Wait()
	return stamp, h
}

// recordRoundEvidence draws evidence from what was heard once the fold has caught up with
// the highest offset that any peer knew.
func (m *Monitor) recordRoundEvidence(ctx context.Context, stamp mn.Millis, h *roundResult, counts bool) {
	m.mu.Lock()
	m.highestKnown = max(m.highestKnown, h.highestKnown)
	m.mu.Unlock()
	view, ok := m.awaitApplied(ctx, h.highestKnown)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.hasPeerEvidence {
		m.recordEvidenceLocked(h.peerEvidenceAt, false)
	}
	if counts && isMajority(view.Roster, h.reached) {
		m.recordEvidenceLocked(stamp, true)
	}
}

// awaitApplied waits for one timeout until the fold reaches off.
func (m *Monitor) awaitApplied(ctx context.Context, off mn.Offset) (*mn.View, bool) {
	ctx, cancel := context.WithTimeout(ctx, m.params.ProbeTimeout.Duration())
	defer cancel()
	for {
		changed := m.state.Changed()
		view := m.state.View()
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
func isMajority(roster map[mn.VMID]mn.Member, told map[memberRun]bool) bool {
	n := 0
	for _, p := range roster {
		if told[memberRun{p.VM, p.Incarnation}] {
			n++
		}
	}
	return 2*n > len(roster)
}

// isEstablishedBy says whether every majority of every roster that a process may
// still act on has a member among told. Members that have left the present
// roster run no more, so they are in no majority.
func (m *Monitor) isEstablishedBy(told map[memberRun]bool, view *mn.View) bool {
	rosters, whole := m.state.RostersSince(m.Established())
	if !whole {
		return false
	}
	alive := map[memberRun]bool{}
	for _, p := range view.Roster {
		alive[memberRun{p.VM, p.Incarnation}] = true
	}
	for _, r := range rosters {
		untold := 0
		for _, p := range r {
			k := memberRun{p.VM, p.Incarnation}
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
