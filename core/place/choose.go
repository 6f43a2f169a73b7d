package place

import (
	"math"
	"math/rand/v2"
	"slices"

	mn "mustardnotch"
)

const (
	// remoteHop and localHop are the costs, in milliseconds, of the round trip to
	// an endpoint in another data centre and in the same one. Traffic to another
	// data centre is charged for, so an endpoint in the same one is preferred even
	// if it costs some milliseconds more.
	remoteHop, localHop = 6.0, 1.0
	// plainQueueDepth is how many requests beyond its capacity a plain endpoint
	// gets, so that it isn't idle between two requests.
	plainQueueDepth = 1
)

// Ranks of requests in an engine's queue, lower ones first. A request whose prompt
// another engine has prefilled only needs a slot. The others are ranked by urgency,
// with long prompts behind short ones, since many short prompts fit into the time
// of one long prompt.
const (
	rankPrefilled     = 0
	rankBase          = 2
	longPromptPenalty = 2
	maxRank           = 9
)

// rank returns the rank of a request at the engine that prefills its prompt.
func (b *Balancer) rank(j *Job) int {
	if b.disabled(EngineRanks) {
		return rankBase
	}
	rank := rankBase + max(0, j.Urgency)
	if j.long {
		rank += longPromptPenalty
	}
	return min(maxRank, rank)
}

// Job is a request to place.
type Job struct {
	Pool mn.PoolID
	// Prompt is nil for requests to plain services.
	Prompt *mn.PromptInfo
	// Urgency ranks the request among others; 0 is the most urgent.
	Urgency int
	// FirstEventDeadline is when the first event is due for the answer to be on
	// time, Deadline when the last event is due.
	FirstEventDeadline mn.Millis
	Deadline           mn.Millis
	// Avoid lists endpoints that earlier attempts used.
	Avoid []mn.EndpointID

	// goal is the time within which the first event was due when the job was first
	// placed. long reports whether its prompt counts as long, and large whether it is
	// so large that it can hardly wait.
	goal        mn.Millis
	long, large bool
}

// busyShare is the share of an engine's capacity that is assumed to be in use when a
// request is sent later.
const busyShare = 0.5

// latestStart returns the latest time at which the request can be sent and still
// finish by its deadline, at engines that are busy and have none of its prompt
// cached.
func (e *enginePool) latestStart(j *Job) mn.Millis {
	running := int64(busyShare * float64(e.spec.Capacity))
	return j.Deadline - mn.Millis(e.model.OutputTime(j.Prompt.MaxOutput, running, false)+e.savedWork(j.Prompt.Tokens))
}

// finishesInTime reports whether a late request will most likely finish by its
// deadline under a plan. Callers declare the maximum output, which large requests
// rarely use up, so that only a share of it counts for those; otherwise they would
// be rejected for output that they don't produce.
func (e *enginePool) finishesInTime(j *Job, p *Plan, now mn.Millis) bool {
	last := p.ExpectedLast
	if j.large {
		last = p.ExpectedFirst + mn.Millis(largeOutputShare*float64(p.ExpectedLast-p.ExpectedFirst))
	}
	return now+last+lateFinishMargin <= j.Deadline
}

// maxBacklog returns the longest prefill backlog, in milliseconds, behind which the
// request may be sent if it is late.
func (e *enginePool) maxBacklog(j *Job) float64 {
	share := lateBacklogShare
	switch {
	case !j.long:
		share = shortLateBacklogShare
	case j.large:
		share = largeBacklogShare
	}
	return share * float64(j.goal)
}

// Plan is where a request runs.
type Plan struct {
	Target mn.Endpoint
	// Prefiller prefills the prompt for Target, which then fetches the KV cache;
	// nil if Target prefills the prompt itself.
	Prefiller *mn.Endpoint
	// CachedBy is an engine from which the prefilling engine fetches cached shared
	// segments that it lacks; nil for none.
	CachedBy *mn.Endpoint
	// ExpectedFirst is the estimated time until the first event, ExpectedPrefill
	// that of the prefill, including the wait behind the backlog.
	ExpectedFirst   mn.Millis
	ExpectedPrefill mn.Millis
	// ExpectedLast is the estimated time until the last event if the request
	// produces its maximum output.
	ExpectedLast mn.Millis
	// Backlog is the prefill work that the prefilling engine already had.
	Backlog mn.Millis
	// Uncached is how many tokens of the prompt have to be prefilled.
	Uncached int64
	// Rank is the request's rank in Target's queue, 0 for the most urgent, and
	// PrefillRank that in Prefiller's.
	Rank        int
	PrefillRank int

	// Long reports whether the prompt counts as long.
	Long bool

	// prefillWork is the time that the prefill takes, knownWait the time that it was
	// expected to wait, and transfer the time to fetch the KV cache from Prefiller, in
	// milliseconds.
	prefillWork, knownWait, transfer float64
	// running is the number of requests that Target ran when the plan was made.
	running int64
	prompt  *mn.PromptInfo
	// workAtEvent is Target's prefill work at the stream's last event, in milliseconds.
	workAtEvent float64
	// prefillerReleased, targetReleased and workReleased mean that the reservations
	// at Prefiller, at Target, and of prefillWork have been released.
	prefillerReleased, targetReleased, workReleased bool
}

// prefillerID returns the endpoint that prefills the prompt.
func (p *Plan) prefillerID() mn.EndpointID {
	if p.Prefiller != nil {
		return p.Prefiller.ID
	}
	return p.Target.ID
}

// Choice is the result of placing a job.
type Choice int

// Results of Choose.
const (
	// Send means that the plan is on time and reserved.
	Send Choice = iota
	// SendLate means that the plan misses the first event's deadline and is
	// reserved.
	SendLate
	// Full means that no endpoint has room for the job now.
	Full
	// NoEndpoint means that no endpoint of the pool can be used.
	NoEndpoint
)

// Choose places a job and reserves its plan if the first event is expected on time.
// If late is set, or for a short prompt, it also reserves a plan whose first event
// is late, provided that the last event is expected by the deadline and the prefill
// backlog is short enough that other requests hardly wait for this one.
func (b *Balancer) Choose(j *Job, late bool) (*Plan, Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.expirePeers(now)
	e := b.engines[j.Pool]
	if e != nil {
		b.updateSpeeds(j.Pool, e, now)
	}
	var usable []*endpointState
	for _, s := range b.byPool[j.Pool] {
		s.presentSlowdown = s.slowdown * s.toldSlowdown(now)
		if s.usable(now, j.Avoid) && b.warmEnough(s, now) {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		if b.warmingUp(j, now) {
			return nil, Full
		}
		return nil, NoEndpoint
	}
	if e == nil || j.Prompt == nil {
		return b.choosePlain(usable, now)
	}
	if b.config.Naive {
		return b.chooseNaive(j, usable)
	}
	e.classify(j, now)
	p, backlog := b.chooseEngine(j, usable, e, now)
	if p == nil {
		return nil, Full
	}
	switch {
	case now+p.ExpectedFirst <= j.FirstEventDeadline:
		b.accept(j, p, e, now)
		return p, Send
	case !b.disabled(LateSends) && e.finishesInTime(j, p, now) && (late || !j.long) && backlog <= e.maxBacklog(j):
		b.accept(j, p, e, now)
		return p, SendLate
	}
	return nil, Full
}

// accept reserves a plan, and counts its prompt for cache affinity.
func (b *Balancer) accept(j *Job, p *Plan, e *enginePool, now mn.Millis) {
	b.reserve(p, e)
	e.use.add(j.Prompt, e.savedWork(j.Prompt.Tokens), now)
}

func (b *Balancer) choosePlain(usable []*endpointState, now mn.Millis) (*Plan, Choice) {
	var best *endpointState
	low := math.Inf(1)
	for _, s := range usable {
		n, _ := s.totalLoad()
		if n >= s.Capacity+plainQueueDepth {
			continue
		}
		// A nearly full endpoint may be full by the time the request arrives.
		cost := s.responseTime*s.pace.factor(now)*(1+float64(n)/float64(s.Capacity)) + b.hopCost(s) + failureCost*s.currentFailureRate(now)
		if cost < low {
			best, low = s, cost
		}
	}
	if best == nil {
		return nil, Full
	}
	p := &Plan{Target: best.Endpoint, ExpectedFirst: mn.Millis(low)}
	b.reserve(p, nil)
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

// hopCost returns the cost of the round trip to s, in milliseconds.
func (b *Balancer) hopCost(s *endpointState) float64 {
	if s.DataCentre == b.config.DataCentre {
		return localHop
	}
	return remoteHop
}
