package place

import (
	"math"
	"math/rand/v2"
	"slices"

	mn "mustardnotch"
)

const (
	// remoteHop is the round trip to an endpoint in another data centre; localHop
	// that within one. Bytes to another data centre are paid for, so that a
	// choice within one is worth some milliseconds more.
	remoteHop, localHop = 6.0, 1.0
	// plainQueueDepth is how many requests beyond its places a plain endpoint gets,
	// so that it is not idle between two of them.
	plainQueueDepth = 1
)

// Ranks of requests at an engine: what another engine has read only needs a
// place; the others have one by their urgency, long prompts after short ones, of
// which many fit into the time of one.
const (
	rankPrefilled     = 0
	rankBase          = 2
	longPromptPenalty = 2
	maxRank           = 9
)

// rank returns the rank at an engine of a request that the engine reads.
func (b *Balancer) rank(j *Job) int {
	if b.disabled(EngineRanks) {
		return rankBase
	}
	rank := rankBase + max(0, j.Urgency)
	if j.Prompt.Tokens > maxShortPrompt {
		rank += longPromptPenalty
	}
	return min(maxRank, rank)
}

// Job is a request that is to be placed.
type Job struct {
	Pool mn.PoolID
	// Prompt is nil for requests to plain services.
	Prompt *mn.PromptInfo
	// Urgency is the rank of the request among others, 0 for the most urgent.
	Urgency int
	// FirstEventDeadline is until when an answer is on time, Deadline when the request must
	// have its final answer.
	FirstEventDeadline mn.Millis
	Deadline           mn.Millis
	// Avoid lists endpoints that were tried.
	Avoid []mn.EndpointID
}

// latestStart returns until when the request must be sent for its last event to be in
// time, at engines that are busy and have nothing of its prompt.
func (j *Job) latestStart() mn.Millis {
	if j.Prompt == nil {
		return j.Deadline
	}
	return j.Deadline - mn.Millis(busyDecodeStep*float64(j.Prompt.MaxOutput)+float64(j.Prompt.Tokens)/prefillSpeed)
}

// isLarge says whether the request is so large that it can hardly wait.
func (j *Job) isLarge() bool {
	return j.Prompt.Tokens > maxShortPrompt && j.Deadline-j.latestStart() >= largeDuration
}

// finishesInTime says whether a late request most likely ends in time by a plan. Callers
// declare the most output; large requests would be refused for what they rarely
// use.
func (j *Job) finishesInTime(p *Plan, now mn.Millis) bool {
	last := p.ExpectedLast
	if j.isLarge() {
		last = p.ExpectedFirst + mn.Millis(largeOutputShare*float64(p.ExpectedLast-p.ExpectedFirst))
	}
	return now+last <= j.Deadline-lateFinishMargin
}

// maxBacklog returns the most reading, in milliseconds, that may be before the
// request if it is late.
func (j *Job) maxBacklog() float64 {
	switch {
	case j.Prompt.Tokens <= maxShortPrompt:
		return maxShortBacklog
	case j.isLarge():
		return maxLargeBacklog
	}
	return maxLateBacklog
}

// Plan is where a request runs.
type Plan struct {
	Target mn.Endpoint
	// Prefiller reads the prompt for Target, which then fetches it; nil if Target
	// reads it itself.
	Prefiller *mn.Endpoint
	// CachedBy is an engine from which the one that reads the prompt fetches the
	// shared parts that it lacks; nil for none.
	CachedBy *mn.Endpoint
	// ExpectedFirst is the time until the first event, and Read that in which the
	// prompt is read, both as estimated.
	ExpectedFirst   mn.Millis
	ExpectedPrefill mn.Millis
	// ExpectedLast is the time until the last event, if all of the output is used.
	ExpectedLast mn.Millis
	// Backlog is the reading, in milliseconds, that was before it at its reader.
	Backlog mn.Millis
	// Uncached is how many tokens of the prompt are to be read.
	Uncached int64
	// Rank is the target's rank for the request, 0 for the most urgent, and
	// PrefillRank the reader's.
	Rank        int
	PrefillRank int

	// prefillWork is the time in which the prompt is read, in milliseconds.
	prefillWork float64
	prompt      *mn.PromptInfo
	// prefillerReleased, targetReleased and workReleased say that the reader's place, the
	// target's, and the reading have been given back.
	prefillerReleased, targetReleased, workReleased bool
}

// prefillerID returns the endpoint that reads the prompt.
func (p *Plan) prefillerID() mn.EndpointID {
	if p.Prefiller != nil {
		return p.Prefiller.ID
	}
	return p.Target.ID
}

// Choice is what the board says of a job.
type Choice int

// Choices.
const (
	// Send means that the plan is on time, and reserved.
	Send Choice = iota
	// SendLate means that the plan is not on time, and reserved.
	SendLate
	// Full means that no endpoint has room for the job now.
	Full
	// NoEndpoint means that no endpoint of the pool can be used.
	NoEndpoint
)

// Choose places a job. It reserves the place if the first event is expected on
// time. If late is set, or for a short prompt, it also does if the last event is
// expected before the end and hardly anything has to wait for the prompt.
func (b *Balancer) Choose(j *Job, late bool) (*Plan, Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.expirePeers(now)
	var usable []*endpointState
	for _, s := range b.byPool[j.Pool] {
		if s.usable(now, j.Avoid) {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		return nil, NoEndpoint
	}
	spec, engine := b.engines[j.Pool]
	if !engine || j.Prompt == nil {
		return b.choosePlain(usable, now)
	}
	if b.config.Naive {
		return b.chooseNaive(j, usable)
	}
	p, backlog := b.chooseEngine(j, usable, spec, now)
	if p == nil {
		return nil, Full
	}
	switch {
	case now+p.ExpectedFirst <= j.FirstEventDeadline:
		b.reserve(p, spec)
		return p, Send
	case !b.disabled(LateSends) && j.finishesInTime(p, now) && (late || j.Prompt.Tokens <= maxShortPrompt) && backlog <= j.maxBacklog():
		b.reserve(p, spec)
		return p, SendLate
	}
	return nil, Full
}

func (b *Balancer) choosePlain(usable []*endpointState, now mn.Millis) (*Plan, Choice) {
	var best *endpointState
	low := math.Inf(1)
	for _, s := range usable {
		n, _ := s.totalLoad()
		if n >= s.Capacity+plainQueueDepth {
			continue
		}
		// An endpoint that is nearly full may be full by the next request.
		cost := s.responseTime*(1+float64(n)/float64(s.Capacity)) + b.hopCost(s) + failureCost*s.currentFailureRate(now)
		if cost < low {
			best, low = s, cost
		}
	}
	if best == nil {
		return nil, Full
	}
	p := &Plan{Target: best.Endpoint, ExpectedFirst: mn.Millis(low)}
	b.reserve(p, mn.EngineSpec{})
	return p, Send
}

func (b *Balancer) chooseNaive(j *Job, usable []*endpointState) (*Plan, Choice) {
	usable = slices.DeleteFunc(usable, func(s *endpointState) bool { return s.Role == mn.EnginePrefill })
	if len(usable) == 0 {
		return nil, NoEndpoint
	}
	s := usable[rand.IntN(len(usable))]
	p := &Plan{Target: s.Endpoint, prompt: j.Prompt}
	b.reserve(p, b.engines[j.Pool])
	return p, Send
}

// hopCost returns the cost of the way to s.
func (b *Balancer) hopCost(s *endpointState) float64 {
	if s.DataCentre == b.config.DataCentre {
		return localHop
	}
	return remoteHop
}
