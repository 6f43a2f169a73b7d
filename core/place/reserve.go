package place

import mn "mustardnotch"

const (
	// maxLearnBacklog and minLearnTokens bound the reads from which an engine's speed is
	// learned: with little known before them, and long beside what is fixed.
	maxLearnBacklog = 5 * mn.Millisecond
	minLearnTokens  = 2000
)

// reserve counts the plan's work.
func (b *Balancer) reserve(p *Plan, spec mn.EngineSpec) {
	for _, s := range b.reservedEndpoints(p) {
		s.requests++
		if s.pause > 0 {
			s.probing = true
		}
	}
	if p.prefillWork >= minUrgentWork && !b.disabled(UrgentUpdates) {
		b.requestUrgentUpdate()
	}
	if s := b.endpoints[p.prefillerID()]; s != nil {
		s.prefillWork += p.prefillWork
		if p.prompt != nil {
			b.recordPrefill(s, p.prompt, spec.KVTokens)
		}
	}
	if p.Prefiller != nil && p.prompt != nil {
		// An engine keeps what it fetched like what it read.
		if s := b.endpoints[p.Target.ID]; s != nil {
			b.recordPrefill(s, p.prompt, spec.KVTokens)
		}
	}
}

func (b *Balancer) reservedEndpoints(p *Plan) []*endpointState {
	var out []*endpointState
	if s := b.endpoints[p.Target.ID]; s != nil && !p.targetReleased {
		out = append(out, s)
	}
	if p.Prefiller != nil && !p.prefillerReleased {
		if s := b.endpoints[p.Prefiller.ID]; s != nil {
			out = append(out, s)
		}
	}
	return out
}

// PrefillDone notes that the prompt was read. What it took counts from when the
// request was sent to when the reader answered, or the target's first event came;
// it is negative if the prompt was not read.
func (b *Balancer) PrefillDone(p *Plan, took mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseWork(p)
	s := b.endpoints[p.prefillerID()]
	if s == nil {
		return
	}
	if !b.disabled(LearnedSpeeds) && took >= 0 && p.Backlog < maxLearnBacklog && p.Uncached >= minLearnTokens {
		fixed := firstTokenDelay
		if p.Prefiller != nil {
			fixed = prefillOverhead
		}
		s.learn(float64(took)-fixed, float64(p.ExpectedPrefill))
	}
	if p.Prefiller != nil && !p.prefillerReleased {
		p.prefillerReleased = true
		s.requests = max(0, s.requests-1)
	}
}

// learn moves the speed factor towards a value that two in five observations are
// below: the rest waited for work that was not known when they were placed.
func (s *endpointState) learn(took, expected float64) {
	const up, down = 0.04, 0.06
	if took > expected {
		s.slowdown *= 1 + up
	} else {
		s.slowdown *= 1 - down
	}
	s.slowdown = min(maxSlowdown, max(minSlowdown, s.slowdown))
}

func (b *Balancer) releaseWork(p *Plan) {
	if p.workReleased {
		return
	}
	p.workReleased = true
	if p.prefillWork >= minUrgentWork && !b.disabled(UrgentUpdates) {
		b.requestUrgentUpdate()
	}
	if s := b.endpoints[p.prefillerID()]; s != nil {
		s.prefillWork = max(0, s.prefillWork-p.prefillWork)
	}
}

// Release gives back what is left of a plan's places.
func (b *Balancer) Release(p *Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseWork(p)
	for _, s := range b.reservedEndpoints(p) {
		s.requests = max(0, s.requests-1)
		s.probing = false
	}
	p.targetReleased, p.prefillerReleased = true, true
}
