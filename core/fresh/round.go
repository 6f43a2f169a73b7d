package fresh

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"

	mn "mustardnotch"
)

// maxUnestablishedRounds is the number of rounds after which any process
// establishes a changed roster itself, in case the control holder has not done
// so.
const maxUnestablishedRounds = 12

// Run probes peers whenever the evidence becomes old or a change has to be
// established, until ctx is done.
func (m *Monitor) Run(ctx context.Context) error {
	unestablished := 0
	for ctx.Err() == nil {
		requested := m.waitForRound(ctx)
		unestablished = m.countUnestablishedRounds(unestablished)
		if requested || unestablished >= maxUnestablishedRounds || unestablished > 0 && m.holdsControl() {
			m.probeAll(ctx)
			continue
		}
		m.refreshEvidence(ctx)
	}
	return ctx.Err()
}

// countUnestablishedRounds returns the number of rounds since the roster
// changed after the last established offset, 0 if it has not changed. Roster
// changes are established promptly so that few rosters need a majority when a
// key is withdrawn.
func (m *Monitor) countUnestablishedRounds(previous int) int {
	if rosters, _ := m.state.RostersSince(m.Established()); len(rosters) > 1 {
		return previous + 1
	}
	return 0
}

func (m *Monitor) holdsControl() bool {
	return m.state.View().Lease.Holder == m.vm
}

// waitForRound waits for the next round and reports whether [Monitor.Establish]
// requested it.
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

// refreshEvidence renews evidence that has become old. Anchors probe all
// members. Other processes probe the anchors, and then all members if their
// evidence is still older than half of MaxStaleness.
func (m *Monitor) refreshEvidence(ctx context.Context) {
	refreshAge, fallbackAge := 2*m.params.ProbeInterval, m.params.MaxStaleness/2
	if !m.evidenceOlderThan(refreshAge) {
		return
	}
	if m.IsAnchor() {
		m.probeAll(ctx)
		return
	}
	m.probePeers(ctx, m.anchors())
	if m.evidenceOlderThan(fallbackAge) {
		m.probeAll(ctx)
	}
}

// IsAnchor reports whether the process is one of the few entries that read the
// log and probe a majority on behalf of all processes.
func (m *Monitor) IsAnchor() bool {
	return slices.ContainsFunc(m.anchors(), func(a mn.Member) bool { return a.VM == m.vm })
}

func (m *Monitor) evidenceOlderThan(limit mn.Millis) bool {
	age, ok := m.EvidenceAge()
	return !ok || age > limit
}

// anchors returns the entries that probe a majority on behalf of all processes.
// Processes that have the same roster choose the same anchors.
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

// memberRun identifies one run of the process on a VM.
type memberRun struct {
	vm          mn.VMID
	incarnation mn.Incarnation
}

// roundResult collects the replies of the peers that were probed in one round.
type roundResult struct {
	mu           sync.Mutex
	reached      map[memberRun]bool
	highestKnown mn.Offset
	// peerEvidenceAt is the instant of the latest evidence reported by a
	// current peer, on the clock of this process.
	peerEvidenceAt  mn.Millis
	hasPeerEvidence bool
}

// addReply adds the reply to a probe that was sent at sentAt.
func (r *roundResult) addReply(sentAt mn.Millis, reply ProbeReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached[memberRun{reply.VM, reply.Incarnation}] = true
	r.highestKnown = max(r.highestKnown, reply.Offset)
	if !reply.Current {
		return
	}
	if at := sentAt - reply.Age; !r.hasPeerEvidence || at > r.peerEvidenceAt {
		r.peerEvidenceAt = at
		r.hasPeerEvidence = true
	}
}

// probeAll probes every member of the roster. The replies may provide evidence
// that the process is current, and may establish the offset that it has
// applied.
func (m *Monitor) probeAll(ctx context.Context) {
	view := m.state.View()
	var all []mn.Member
	for _, p := range view.Roster {
		all = append(all, p)
	}
	sentAt, result := m.probe(ctx, all, view.Offset, m.Established())
	established := view.Offset > m.Established() && m.isEstablishedBy(result.reached, view)
	m.recordRoundEvidence(ctx, sentAt, result, true)
	if !established {
		return
	}
	// All members of earlier rosters may fail right after the change is
	// acknowledged. The remaining members could then never establish an offset
	// without them, so they are sent the established offset first.
	m.probe(ctx, all, view.Offset, view.Offset)
	m.ObserveEstablished(view.Offset)
}

// probePeers probes only the given peers. Their own evidence counts if they are
// current, but no majority is sought.
func (m *Monitor) probePeers(ctx context.Context, peers []mn.Member) {
	sentAt, result := m.probe(ctx, peers, m.state.View().Offset, m.Established())
	m.recordRoundEvidence(ctx, sentAt, result, false)
}

// probe sends the applied and the established offset to the peers, and returns
// the instant before the first probe was sent.
func (m *Monitor) probe(ctx context.Context, peers []mn.Member, applied, established mn.Offset) (mn.Millis, *roundResult) {
	ctx, cancel := context.WithTimeout(ctx, m.params.ProbeTimeout.Duration())
	defer cancel()
	req := ProbeRequest{VM: m.vm, Incarnation: m.incarnation, Offset: applied, Established: established}
	result := &roundResult{reached: map[memberRun]bool{{m.vm, m.incarnation}: true}, highestKnown: m.HighestKnown()}
	prober := m.prober
	sentAt := m.clock.Now()
	var wait sync.WaitGroup
	for _, p := range peers {
		if p.VM == m.vm {
			continue
		}
		wait.Go(func() {
			reply, err := prober.Probe(ctx, p, req)
			if err != nil {
				return
			}
			m.ObserveEstablished(reply.Established)
			result.addReply(sentAt, reply)
		})
	}
	wait.Wait()
	return sentAt, result
}

// recordRoundEvidence waits until the process has applied the highest offset
// that any peer reported, and then records the evidence that the replies
// provide. A majority of replies is evidence only if seekMajority is true.
func (m *Monitor) recordRoundEvidence(ctx context.Context, sentAt mn.Millis, result *roundResult, seekMajority bool) {
	m.mu.Lock()
	m.highestKnown = max(m.highestKnown, result.highestKnown)
	m.mu.Unlock()
	view, ok := m.awaitApplied(ctx, result.highestKnown)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if result.hasPeerEvidence {
		m.recordEvidenceLocked(result.peerEvidenceAt, false)
	}
	if seekMajority && isMajority(view.Roster, result.reached) {
		m.recordEvidenceLocked(sentAt, true)
	}
}

// awaitApplied waits until the process has applied off, for at most
// ProbeTimeout. It returns false if it has not.
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

// isMajority reports whether more than half of the roster is in reached.
func isMajority(roster map[mn.VMID]mn.Member, reached map[memberRun]bool) bool {
	n := 0
	for _, p := range roster {
		if reached[memberRun{p.VM, p.Incarnation}] {
			n++
		}
	}
	return 2*n > len(roster)
}

// isEstablishedBy reports whether every majority of every roster that a process
// may still act on has a member in reached. Members that are no longer in the
// current roster have stopped, so they don't count towards a majority of an
// earlier roster.
func (m *Monitor) isEstablishedBy(reached map[memberRun]bool, view *mn.View) bool {
	rosters, complete := m.state.RostersSince(m.Established())
	if !complete {
		return false
	}
	alive := map[memberRun]bool{}
	for _, p := range view.Roster {
		alive[memberRun{p.VM, p.Incarnation}] = true
	}
	for _, r := range rosters {
		unreached := 0
		for _, p := range r {
			k := memberRun{p.VM, p.Incarnation}
			if alive[k] && !reached[k] {
				unreached++
			}
		}
		if 2*unreached > len(r) {
			return false
		}
	}
	return true
}
