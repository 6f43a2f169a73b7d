package place

import (
	"math"

	mn "mustardnotch"
	"mustardnotch/core/perf"
)

const (
	// shortGoalShare is the share of the time to the first event that the prefill of a
	// short prompt takes at most at an engine that generates. Engines that generate may
	// prefill any short prompt themselves.
	shortGoalShare = 0.15
	// localGoalShare is the same for what an engine that generates prefills of a long
	// prompt: more would delay the short prompts behind it.
	localGoalShare = 0.33
	// maxGoalShare bounds the goal for the first event, as a share of the time until
	// the deadline, for routes that declare a late one or none.
	maxGoalShare = 0.2
	// shortBacklogShare is the share of an engine's prefill backlog that a short
	// prompt waits for.
	shortBacklogShare = 0.55
	// minUrgentWork is the prefill work, in milliseconds, from which on a change is
	// sent to peer fronts at once.
	minUrgentWork = 15.0
	// minSavedWork is the prefill work, in milliseconds, from which on cached tokens
	// are worth a transfer between engines or an engine of their own.
	minSavedWork = 15.0
	// evictionCostShare is the cost of a shared token that is new to an engine's
	// cache and evicts others, as a share of the cost of prefilling it.
	evictionCostShare = 0.3
	// decodeStallShare is what a millisecond of prefill at a generating engine
	// costs each request that it runs, in milliseconds.
	decodeStallShare = 0.02
	// pauseMargin is the share of the longest pause between two events which requests
	// may be expected to have; the rest is for what the model doesn't explain.
	pauseMargin = 0.7
	// pauseRiskCost is what a pause over its goal costs, as a multiple of the time until the
	// first event is due. A late answer is lost for its caller, so the risk counts for more than
	// the wait at a faster endpoint.
	pauseRiskCost = 3.0
	// lastEventMargin is the time, in milliseconds, by which the last token should
	// precede a request's deadline.
	lastEventMargin = 200.0
	// maxOccupancy is the share of an engine's capacity that may be in use; the
	// rest is for requests that peer fronts have sent but not yet reported.
	maxOccupancy = 0.85
)

// enginePool is what the balancer knows of a pool of model engines.
type enginePool struct {
	spec  mn.EngineSpec
	model *perf.Model
	// pauseGoal is the longest pause between two events for which an answer is still
	// on time, 0 if there is no bound.
	pauseGoal float64
	use       segmentUse
	paces     paces
	// speedsAt is when the engines' speeds were last estimated.
	speedsAt mn.Millis
}

// estimatePrefill returns how long s takes to prefill the prompt, in milliseconds,
// and the number of tokens that are not cached there.
func (e *enginePool) estimatePrefill(s *endpointState, info *mn.PromptInfo) (work float64, uncached int64) {
	return e.estimatePrefillWith(s, info, s.cache.cachedTokens(info))
}

// estimatePrefillWith returns the same for an engine with the given number of
// cached tokens at the start of the prompt. At least one token is prefilled.
func (e *enginePool) estimatePrefillWith(s *endpointState, info *mn.PromptInfo, cached int64) (work float64, uncached int64) {
	uncached = max(1, info.Tokens-min(cached, info.Tokens-1))
	p := perf.Prefill{Local: s.Role != mn.EnginePrefill, Tokens: info.Tokens, Uncached: uncached}
	if p.Local {
		p.Running, _ = s.totalLoad()
	}
	return s.presentSlowdown * e.model.PrefillWork(p), uncached
}

// savedWork returns how long an engine that only prefills takes for cached tokens at
// the start of a prompt, in milliseconds.
func (e *enginePool) savedWork(tokens int64) float64 {
	return e.model.PrefillWork(perf.Prefill{Tokens: tokens, Uncached: tokens})
}

// classify sets whether the job's prompt is short, at its first call. The class is
// kept while the job waits.
func (e *enginePool) classify(j *Job, now mn.Millis) {
	if j.goal > 0 {
		return
	}
	j.goal = max(1, min(j.FirstEventDeadline-now, mn.Millis(maxGoalShare*float64(j.Deadline-now))))
	j.long = e.model.PrefillWork(perf.Prefill{Local: true, Tokens: j.Prompt.Tokens, Uncached: j.Prompt.Tokens}) > shortGoalShare*float64(j.goal)
	j.large = j.long && float64(j.Deadline-e.latestStart(j)) >= largeShare*float64(j.Deadline-now)
}

// chooseEngine returns the plan with the lowest cost for a prompt, nil if no engine
// has room, and the prefill backlog of the engine that prefills it.
func (b *Balancer) chooseEngine(j *Job, usable []*endpointState, e *enginePool, now mn.Millis) (*Plan, float64) {
	var best *Plan
	var backlog float64
	low := math.Inf(1)
	sources := b.cacheSources(j, e, now)
	consider := func(prefiller, target *endpointState) {
		p, cost, work := b.plan(j, prefiller, target, sources, e, now)
		if cost < low {
			best, low, backlog = p, cost, work
		}
	}
	prefillers, targets := splitByRole(usable)
	if !j.long {
		prefiller := leastBusy(prefillers)
		for _, t := range targets {
			if !e.hasRoom(t) {
				continue
			}
			if e.mayPrefill(t, j, prefiller != nil, now) {
				consider(t, t)
			}
			if prefiller != nil {
				consider(prefiller, t)
			}
		}
		return best, backlog
	}
	if b.disabled(SeparatePrefill) {
		prefillers = nil
	}
	if !b.disabled(CacheAffinity) {
		prefillers, targets = e.affinityEngines(j.Prompt, prefillers, now), e.affinityEngines(j.Prompt, targets, now)
	}
	prefillers = e.cheapest(prefillers, func(s *endpointState) float64 { return e.prefillCost(s, j) })
	for _, t := range e.cheapest(targets, func(s *endpointState) float64 { return e.decodeCost(s, j) }) {
		if !e.hasRoom(t) {
			continue
		}
		for _, p := range prefillers {
			consider(p, t)
		}
		if e.mayPrefill(t, j, len(prefillers) > 0, now) {
			consider(t, t)
		}
	}
	return best, backlog
}

// mayPrefill reports whether t, which generates, may prefill the job's prompt while
// others could. The requests that t runs must not pause too long, and short prompts
// must not wait too long behind a long one. Load pattern: short prompts arrive so fast
// that an engine has some to prefill in each step of the requests that it runs.
func (e *enginePool) mayPrefill(t *endpointState, j *Job, others bool, now mn.Millis) bool {
	if !others {
		return true
	}
	work, _ := e.estimatePrefill(t, j.Prompt)
	if j.long && work > localGoalShare*float64(j.goal) {
		return false
	}
	running, pending := t.totalLoad()
	if e.pauseGoal <= 0 || running == 0 {
		return true
	}
	prefilling := e.prefillingFor(t, now) + pending + work
	pause := t.presentSlowdown*e.model.EventInterval(running+1) + min(t.presentSlowdown*e.model.Stall(), prefilling)
	return pause <= pauseMargin*e.pauseGoal
}

// hasRoom reports whether s may run one more request: it has a slot, and the
// requests that it runs don't pause too long.
func (e *enginePool) hasRoom(s *endpointState) bool {
	n, _ := s.totalLoad()
	if float64(n) >= maxOccupancy*float64(s.Capacity) {
		return false
	}
	return e.pauseGoal <= 0 || n == 0 || s.presentSlowdown*e.model.EventInterval(n+1) <= pauseMargin*e.pauseGoal
}

// leastBusy returns the engine with the least prefill work, nil if there are no
// engines.
func leastBusy(engines []*endpointState) *endpointState {
	var best *endpointState
	low := math.Inf(1)
	for _, s := range engines {
		if _, work := s.totalLoad(); work < low {
			best, low = s, work
		}
	}
	return best
}

// splitByRole divides engines into prefill engines and those that generate.
func splitByRole(usable []*endpointState) (prefillers, targets []*endpointState) {
	for _, s := range usable {
		if s.Role == mn.EnginePrefill {
			prefillers = append(prefillers, s)
		} else {
			targets = append(targets, s)
		}
	}
	return prefillers, targets
}

// plan estimates a request whose prompt prefiller prefills and whose output target
// generates. The cost is the time until the first event, in milliseconds, plus what
// the plan costs other requests and the risk of failure and of a late end.
func (b *Balancer) plan(j *Job, prefiller, target *endpointState, sources []cacheSource, e *enginePool, now mn.Millis) (p *Plan, cost, backlog float64) {
	work, uncached := e.estimatePrefill(prefiller, j.Prompt)
	var source *endpointState
	if s, cached := bestCacheSource(j, prefiller, sources); s != nil {
		w, u := e.estimatePrefillWith(prefiller, j.Prompt, cached)
		if fetch := e.transferTime(s, prefiller, uncached-u) + b.hopCost(s); w+fetch < work {
			source, work, uncached = s, w+fetch, u
		}
	}
	running, targetWork := target.totalLoad()
	var transfer, first float64
	backlogShare := 1.0
	if !j.long {
		backlogShare = shortBacklogShare
	}
	if prefiller == target {
		backlog = targetWork
		first = e.model.PrefillOverhead(true)
	} else {
		_, backlog = prefiller.totalLoad()
		transfer = e.transferTime(prefiller, target, j.Prompt.Tokens)
		first = e.model.PrefillOverhead(false) + transfer + b.hopCost(target) +
			target.presentSlowdown*e.model.OutputStart() + min(target.presentSlowdown*e.model.Stall(), targetWork)
	}
	first += b.hopCost(prefiller) + backlogShare*backlog + work
	// Prefilling shared segments here, which another engine may have done already,
	// takes time from other requests.
	penalty := e.savedWork(max(0, uncached-unsharedTokens(j.Prompt)))
	// Segments that are new to an engine evict others from its cache.
	penalty += evictionCostShare * e.savedWork(uncachedSharedTokens(prefiller, j.Prompt))
	if prefiller != target {
		penalty += evictionCostShare * e.savedWork(uncachedSharedTokens(target, j.Prompt))
	}
	// Prefill at a generating engine delays each token of the requests it runs.
	if prefiller == target {
		penalty += decodeStallShare * work * float64(running)
	}
	last := first + target.presentSlowdown*e.model.OutputTime(j.Prompt.MaxOutput, running, targetWork > 0)
	penalty += max(0, last+lastEventMargin-float64(j.Deadline-now))
	// A stream of one event has no pause.
	if j.Prompt.MaxOutput > e.spec.TokensPerEvent {
		pause := target.presentSlowdown * e.model.EventInterval(running+1)
		penalty += pauseRiskCost * e.paces.pauseRisk(pause, e.pauseGoal) * float64(j.goal)
	}
	risk := failureCost * (prefiller.currentFailureRate(now) + target.currentFailureRate(now))
	p = &Plan{Target: target.Endpoint, ExpectedFirst: mn.Millis(first), ExpectedLast: mn.Millis(last), ExpectedPrefill: mn.Millis(backlogShare*backlog + work), Backlog: mn.Millis(backlog), Uncached: uncached, Long: j.long, Rank: b.rank(j),
		prefillWork: work, knownWait: backlogShare * backlog, transfer: transfer, running: running, prompt: j.Prompt}
	if source != nil {
		cachedBy := source.Endpoint
		p.CachedBy = &cachedBy
	}
	if prefiller != target {
		separate := prefiller.Endpoint
		p.Prefiller = &separate
		p.PrefillRank = p.Rank
		if !b.disabled(EngineRanks) {
			p.Rank = rankPrefilled
		}
	}
	return p, first + penalty + risk, backlog
}

// prefillCost and decodeCost are the parts of a plan's cost that depend on one of its
// engines only.
func (e *enginePool) prefillCost(s *endpointState, j *Job) float64 {
	work, _ := e.estimatePrefill(s, j.Prompt)
	_, backlog := s.totalLoad()
	return backlog + work + evictionCostShare*e.savedWork(uncachedSharedTokens(s, j.Prompt))
}

func (e *enginePool) decodeCost(s *endpointState, j *Job) float64 {
	running, backlog := s.totalLoad()
	return s.presentSlowdown*e.model.EventInterval(running) + min(e.model.Stall(), backlog) + evictionCostShare*e.savedWork(uncachedSharedTokens(s, j.Prompt))
}

// uncachedSharedTokens returns how many tokens of the prompt's shared segments are
// not cached at s.
func uncachedSharedTokens(s *endpointState, info *mn.PromptInfo) int64 {
	return max(0, info.Tokens-unsharedTokens(info)-s.cache.cachedTokens(info))
}

// unsharedTokens returns the length of the prompt's last segment, which no other
// prompt shares. A prompt without segments shares nothing.
func unsharedTokens(info *mn.PromptInfo) int64 {
	if len(info.Segments) == 0 {
		return info.Tokens
	}
	return info.Segments[len(info.Segments)-1].Tokens
}

// cacheSource is an engine with the number of tokens that it has cached from the
// start of a prompt.
type cacheSource struct {
	*endpointState
	cachedTokens int64
}

// cacheSources returns the engines from which segments of the prompt could be
// fetched.
func (b *Balancer) cacheSources(j *Job, e *enginePool, now mn.Millis) []cacheSource {
	if e.savedWork(j.Prompt.Tokens) < minSavedWork || b.disabled(CacheFetch) {
		return nil
	}
	var out []cacheSource
	for _, s := range b.byPool[j.Pool] {
		if now < s.pausedUntil || s.pause > 0 {
			continue
		}
		if n := s.cache.cachedTokens(j.Prompt); e.savedWork(n) >= minSavedWork {
			out = append(out, cacheSource{s, n})
		}
	}
	return out
}

// bestCacheSource returns the engine from which prefiller can fetch the longest start of
// the prompt, and how many tokens prefiller would then have cached. An engine counts only
// if it has more than what prefiller has cached itself; without one, best is nil.
func bestCacheSource(j *Job, prefiller *endpointState, sources []cacheSource) (best *endpointState, cached int64) {
	cached = prefiller.cache.cachedTokens(j.Prompt)
	for _, s := range sources {
		if s.endpointState == prefiller {
			continue
		}
		if s.cachedTokens > cached || s.cachedTokens == cached && best != nil && s.DataCentre == prefiller.DataCentre {
			best, cached = s.endpointState, s.cachedTokens
		}
	}
	return best, cached
}

// transferTime returns how long target takes to fetch the KV cache of the given
// number of tokens from source, in milliseconds.
func (e *enginePool) transferTime(source, target *endpointState, tokens int64) float64 {
	var t float64
	if e.spec.LinkMbps > 0 {
		t = float64(tokens*e.spec.KVBytesPerToken*8) / (e.spec.LinkMbps * 1e3)
	}
	if source.DataCentre != target.DataCentre {
		t *= 2
	}
	return t * source.presentSlowdown
}
