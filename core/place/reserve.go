package place

import mn "mustardnotch"

const (
	// learnBefore and learnMissing bound the reads from which an engine's speed is
	// learned: with little known before them, and long beside what is fixed.
	learnBefore  = 5 * mn.Millisecond
	learnMissing = 2000
)

// reserve counts the plan's work.
func (b *Balancer) reserve(p *Plan, spec mn.EngineSpec) {
	for _, s := range b.sides(p) {
		s.requests++
		if s.pause > 0 {
			s.probing = true
		}
	}
	if p.work >= newsWork && !b.without(UrgentUpdates) {
		b.announce()
	}
	if s := b.endpoints[p.reader()]; s != nil {
		s.reading += p.work
		if p.prompt != nil {
			b.tell(s, p.prompt, spec.KVTokens)
		}
	}
	if p.Prefiller != nil && p.prompt != nil {
		// An engine keeps what it fetched like what it read.
		if s := b.endpoints[p.Target.ID]; s != nil {
			b.tell(s, p.prompt, spec.KVTokens)
		}
	}
}

func (b *Balancer) sides(p *Plan) []*state {
	var out []*state
	if s := b.endpoints[p.Target.ID]; s != nil && !p.targetLeft {
		out = append(out, s)
	}
	if p.Prefiller != nil && !p.readerLeft {
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
	b.unread(p)
	s := b.endpoints[p.reader()]
	if s == nil {
		return
	}
	if !b.without(LearnedSpeeds) && took >= 0 && p.Backlog < learnBefore && p.Uncached >= learnMissing {
		fixed := firstToken
		if p.Prefiller != nil {
			fixed = readFixed
		}
		s.learn(float64(took)-fixed, float64(p.ExpectedPrefill))
	}
	if p.Prefiller != nil && !p.readerLeft {
		p.readerLeft = true
		s.requests = max(0, s.requests-1)
	}
}

// learn moves the speed factor towards a value that two in five observations are
// below: the rest waited for work that was not known when they were placed.
func (s *state) learn(took, expected float64) {
	const up, down = 0.04, 0.06
	if took > expected {
		s.slow *= 1 + up
	} else {
		s.slow *= 1 - down
	}
	s.slow = min(mostSlow, max(fewestSlow, s.slow))
}

func (b *Balancer) unread(p *Plan) {
	if p.workLeft {
		return
	}
	p.workLeft = true
	if p.work >= newsWork && !b.without(UrgentUpdates) {
		b.announce()
	}
	if s := b.endpoints[p.reader()]; s != nil {
		s.reading = max(0, s.reading-p.work)
	}
}

// Release gives back what is left of a plan's places.
func (b *Balancer) Release(p *Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unread(p)
	for _, s := range b.sides(p) {
		s.requests = max(0, s.requests-1)
		s.probing = false
	}
	p.targetLeft, p.readerLeft = true, true
}
