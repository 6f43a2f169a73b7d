package place

import mn "mustardnotch"

const (
	// maxLearnBacklog and minLearnTokens select the prefills from which an engine's
	// speed is learned: those with little known work in front of them, and long
	// compared with the fixed overhead.
	maxLearnBacklog = 5 * mn.Millisecond
	minLearnTokens  = 2000
)

// reserve adds the plan's requests and prefill work to its endpoints.
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
		// Fetched segments stay in the engine's cache like prefilled ones.
		if s := b.endpoints[p.Target.ID]; s != nil {
			b.recordPrefill(s, p.prompt, spec.KVTokens)
		}
	}
}

// reservedEndpoints returns the endpoints that still count a request of the plan.
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

// PrefillDone releases the plan's prefill work and its request at Prefiller, and
// learns the engine's speed. The duration took runs from when the request was sent
// to when Prefiller answered or, without one, to Target's first event; it is
// negative if the prompt was not prefilled.
func (b *Balancer) PrefillDone(p *Plan, took mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseWork(p)
	s := b.endpoints[p.prefillerID()]
	if s == nil {
		return
	}
	if !b.disabled(LearnedSpeeds) && took >= 0 && p.Backlog < maxLearnBacklog && p.Uncached >= minLearnTokens {
		overhead := firstTokenDelay
		if p.Prefiller != nil {
			overhead = prefillOverhead
		}
		s.learn(float64(took)-overhead, float64(p.ExpectedPrefill))
	}
	if p.Prefiller != nil && !p.prefillerReleased {
		p.prefillerReleased = true
		s.requests = max(0, s.requests-1)
	}
}

// learn moves the slowdown towards the value that two in five observations are
// below: the others waited for work that was unknown when they were placed.
func (s *endpointState) learn(took, expected float64) {
	const up, down = 0.04, 0.06
	if took > expected {
		s.slowdown *= 1 + up
	} else {
		s.slowdown *= 1 - down
	}
	s.slowdown = min(maxSlowdown, max(minSlowdown, s.slowdown))
}

// releaseWork subtracts the plan's prefill work from its engine, once.
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

// Release releases what is left of a plan's reservations.
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
