package place

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/perf"
)

// roundingError is the prefill work, in milliseconds, that may remain of sums and
// differences. It is no work: an engine that has some can't be told from one that
// prefills without a break.
const roundingError = 1e-3

// reserve adds the plan's requests and prefill work to its endpoints.
func (b *Balancer) reserve(p *Plan, e *enginePool) {
	for _, s := range b.reservedEndpoints(p) {
		s.requests++
		b.passGate(s)
		if s.pause > 0 {
			s.probing = true
		}
	}
	if p.prefillWork >= minUrgentWork && !b.disabled(UrgentUpdates) {
		b.requestUrgentUpdate()
	}
	if e == nil || p.prompt == nil {
		return
	}
	if s := b.endpoints[p.prefillerID()]; s != nil {
		s.prefillWork += p.prefillWork
		b.markPrefilling(s)
		b.recordPrefill(s, p, e.spec.KVTokens)
	}
	if p.Prefiller != nil {
		// Fetched segments stay in the engine's cache like prefilled ones.
		if s := b.endpoints[p.Target.ID]; s != nil {
			b.recordPrefill(s, p, e.spec.KVTokens)
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
// learns from how long it took: from when the request was sent to when Prefiller
// answered or, without one, to Target's first event. It is negative if the prompt was
// not prefilled.
func (b *Balancer) PrefillDone(p *Plan, took mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseWork(p)
	s := b.endpoints[p.prefillerID()]
	if s == nil {
		return
	}
	if took >= 0 && p.CachedBy == nil {
		b.learnPrefill(s, p, float64(took))
	}
	if p.Prefiller != nil && !p.prefillerReleased {
		p.prefillerReleased = true
		s.requests = max(0, s.requests-1)
	}
}

func (b *Balancer) learnPrefill(s *endpointState, p *Plan, took float64) {
	e := b.engines[s.Pool]
	if e == nil || p.prompt == nil || b.disabled(LearnedSpeeds) {
		return
	}
	local := p.Prefiller == nil
	prefill := perf.Prefill{Local: local, Tokens: p.prompt.Tokens, Uncached: p.Uncached}
	if local {
		prefill.Running = p.running
	}
	now := b.clock.Now()
	if !b.knowsCache(s, now) {
		return
	}
	told := s.toldSlowdown(now)
	overhead, work := e.model.PrefillOverhead(local), told*s.slowdown*e.model.PrefillWork(prefill)
	if e.model.Trained(local) && work >= max(overhead, p.knownWait) {
		s.learn(took, overhead+work+p.knownWait, 1)
		if !local && work > 0 {
			// Without what was learned of the engine before.
			s.speed.observe((took-overhead-p.knownWait)*s.slowdown*s.speed.factor()/work, now)
		}
	}
	if b.isTypical(s) {
		e.model.ObservePrefill(prefill, took/told, p.knownWait/told, now)
	}
}

// cacheLearnTime is the time after its start in which a front comes to know which prompts engines
// have cached: they are sent to the same engines again within seconds.
const cacheLearnTime = 5 * mn.Second

// knowsCache reports whether the front knows which prompts s has cached.
//
// Load pattern: all fronts were killed and start at full load. Prompts that engines have cached
// take next to no time, whatever their length, while others meet queues that no front knows of.
// A model of both takes each prefill for a fixed time without work, and an engine that has no work
// looks idle whatever is sent there.
func (b *Balancer) knowsCache(s *endpointState, now mn.Millis) bool {
	return s.cacheListed || s.StartedAt > b.startedWall || now-b.startedAt >= cacheLearnTime
}

// OutputStarted learns from how long Target took, after it was sent a prompt that
// Prefiller had prefilled, until the first event.
func (b *Balancer) OutputStarted(p *Plan, took mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[p.Target.ID]
	if s == nil || p.Prefiller == nil || b.disabled(LearnedSpeeds) {
		return
	}
	now := b.clock.Now()
	if e := b.engines[s.Pool]; e != nil && b.isTypical(s) {
		e.model.ObserveStart((float64(took)-p.transfer)/s.toldSlowdown(now), now)
	}
}

// toldSlowdown returns by how much longer than at a typical endpoint work takes at s at now, as
// far as the endpoint tells and all fronts have observed.
func (s *endpointState) toldSlowdown(now mn.Millis) float64 {
	return s.pace.usual() * s.pace.factor(now) * s.speed.factor()
}

// maxDeviation is the factor by which an engine's slowdown may differ from the median of
// its role for the engine to be an observation of the pool.
const maxDeviation = 1.5

// isTypical reports whether s is about as fast as most engines of its pool and role. A
// slow engine has a slowdown of its own, and doesn't change what is expected of others.
func (b *Balancer) isTypical(s *endpointState) bool {
	if s.slowdown < maxDeviation && s.slowdown > 1/maxDeviation {
		return true
	}
	var all []float64
	for _, o := range b.byPool[s.Pool] {
		if o.Role == s.Role {
			all = append(all, o.slowdown)
		}
	}
	slices.Sort(all)
	median := all[len(all)/2]
	return s.slowdown < maxDeviation*median && s.slowdown > median/maxDeviation
}

// EventReceived learns from the time since the stream's last event, which is negative
// for its first.
func (b *Balancer) EventReceived(p *Plan, since mn.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[p.Target.ID]
	if s == nil || b.disabled(LearnedSpeeds) {
		return
	}
	e := b.engines[s.Pool]
	if e == nil {
		return
	}
	running, work := s.totalLoad()
	before := p.workAtEvent
	p.workAtEvent = work
	if since < 0 {
		return
	}
	now := b.clock.Now()
	told := s.toldSlowdown(now)
	if before == 0 && work == 0 {
		s.learn(float64(since), told*s.slowdown*e.model.EventInterval(running), intervalWeight)
	}
	if b.isTypical(s) {
		e.model.ObserveInterval(float64(since)/told, running, before/told, work/told, now)
	}
}

// intervalWeight is the weight of the time between two events for an engine's
// slowdown, compared with that of a prefill. There are many events for each prefill.
const intervalWeight = 0.1

// learn moves the slowdown towards the median of the observed ratios, and towards 1,
// so that the model of the pool explains what all engines have in common.
func (s *endpointState) learn(took, expected, weight float64) {
	const step, back = 0.05, 0.004
	if took > expected {
		s.slowdown *= 1 + weight*step
	} else {
		s.slowdown /= 1 + weight*step
	}
	s.slowdown += weight * back * (1 - s.slowdown)
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
		s.prefillWork -= p.prefillWork
		if s.prefillWork < roundingError {
			s.prefillWork = 0
		}
		b.markPrefilling(s)
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
