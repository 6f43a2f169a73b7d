package place

import (
	"math"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

const (
	// prefillSpeed is how many prompt tokens a prefill engine processes in a
	// millisecond, until its slowdown is learned; from the users' data sheets.
	prefillSpeed = 112.0
	// mixedPrefillSpeed is the same for an engine that also generates: it prefills
	// at half the speed, and in small chunks between the decode steps of the
	// requests that it runs.
	mixedPrefillSpeed = 38.0
	// attentionCost is the time, in milliseconds, for a million pairs of a
	// prefilled token and a token in front of it; from the users' deployments.
	attentionCost = 0.22
	// firstTokenDelay is the time, in milliseconds, from the end of the prefill to
	// the first event.
	firstTokenDelay = 45.0
	// prefillOverhead is the fixed time, in milliseconds, of prefilling a prompt
	// for another engine.
	prefillOverhead = 40.0
	// shortBacklogShare is the share of an engine's prefill backlog that a short
	// prompt waits for.
	shortBacklogShare = 0.55
	// kvTransferSetup is the fixed time, in milliseconds, of a transfer of a
	// prompt's KV cache.
	kvTransferSetup = 8.0
	// maxShortPrompt is the length, in tokens, up to which a prompt counts as
	// short. Engines that generate may prefill any short prompt themselves.
	maxShortPrompt = 1200
	// maxLocalPrefill is how many uncached tokens of a long prompt an engine that
	// generates prefills itself: more would delay the tokens of the generations
	// that it runs and the short prompts behind it.
	maxLocalPrefill = 6000
	// minUrgentWork is the prefill work, in milliseconds, from which on a change is
	// sent to peer fronts at once.
	minUrgentWork = 15.0
	// minFetchTokens is the number of tokens from which on a transfer between
	// engines is faster than prefilling them.
	minFetchTokens = 2000
	// affinityEngines is how many engines of a role a shared segment is assigned
	// to.
	affinityEngines = 2
	// runningRequestDelay is what each running request adds to the time until the
	// first event, in milliseconds: its share of a step, times about the number of
	// steps until an event.
	runningRequestDelay = 0.9
	// evictionCostShare is the cost of a shared token that is new to an engine's
	// cache and evicts others, as a share of the cost of prefilling it.
	evictionCostShare = 0.3
	// decodeStallShare is what a millisecond of prefill at a generating engine
	// costs each request that it runs, in milliseconds.
	decodeStallShare = 0.02
	// decodeStepBase, decodeStepPerRequest and prefillChunkTime make up the time of
	// a decode step, in milliseconds: the fixed part, the part for each running
	// request, and that for a chunk of a prompt; from the users' data sheets.
	decodeStepBase, decodeStepPerRequest, prefillChunkTime = 3.5, 0.1, 9.0
	// busyDecodeStep is the decode step, in milliseconds, of an engine that runs
	// some 40 requests.
	busyDecodeStep = 8.0
	// lastEventMargin is the time, in milliseconds, by which the last token should
	// precede a request's deadline.
	lastEventMargin = 200.0
	// maxOccupancy is the share of an engine's capacity that may be in use; the
	// rest is for requests that peer fronts have sent but not yet reported.
	maxOccupancy = 0.85
)

// estimatePrefill returns how long s takes to prefill the prompt, in milliseconds,
// and the number of tokens that are not cached there.
func (b *Balancer) estimatePrefill(s *endpointState, info *mn.PromptInfo) (work float64, uncached int64) {
	return b.estimatePrefillWith(s, info, s.cache.cachedTokens(info))
}

// estimatePrefillWith returns the same for an engine with the given number of
// cached tokens at the start of the prompt. At least one token is prefilled.
func (b *Balancer) estimatePrefillWith(s *endpointState, info *mn.PromptInfo, cached int64) (work float64, uncached int64) {
	uncached = max(1, info.Tokens-min(cached, info.Tokens-1))
	speed := mixedPrefillSpeed
	if s.Role == mn.EnginePrefill {
		speed = prefillSpeed
	}
	preceding := float64(info.Tokens) - float64(uncached)/2
	return s.slowdown * (float64(uncached)/speed + attentionCost*float64(uncached)*preceding/1e6), uncached
}

// chooseEngine returns the plan with the lowest cost for a prompt, nil if no engine
// has room, and the prefill backlog of the engine that prefills it.
func (b *Balancer) chooseEngine(j *Job, usable []*endpointState, spec mn.EngineSpec, now mn.Millis) (*Plan, float64) {
	var best *Plan
	var backlog float64
	low := math.Inf(1)
	sources := b.cacheSources(j, now)
	consider := func(prefiller, target *endpointState) {
		p, cost, work := b.plan(j, prefiller, target, sources, spec, now)
		if cost < low {
			best, low, backlog = p, cost, work
		}
	}
	prefillers, targets := splitByRole(usable)
	if j.Prompt.Tokens <= maxShortPrompt {
		prefiller := leastBusy(prefillers)
		for _, t := range targets {
			if !t.hasRoom() {
				continue
			}
			consider(t, t)
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
		prefillers, targets = chooseAffinityEngines(j.Prompt, prefillers), chooseAffinityEngines(j.Prompt, targets)
	}
	for _, t := range targets {
		if !t.hasRoom() {
			continue
		}
		for _, p := range prefillers {
			consider(p, t)
		}
		if _, uncached := b.estimatePrefill(t, j.Prompt); uncached <= maxLocalPrefill || len(prefillers) == 0 {
			consider(t, t)
		}
	}
	return best, backlog
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
func (b *Balancer) plan(j *Job, prefiller, target *endpointState, sources []cacheSource, spec mn.EngineSpec, now mn.Millis) (p *Plan, cost, backlog float64) {
	work, uncached := b.estimatePrefill(prefiller, j.Prompt)
	var source *endpointState
	if s, cached := bestCacheSource(j, prefiller, sources); s != nil {
		if w, u := b.estimatePrefillWith(prefiller, j.Prompt, cached); w+kvTransferTime(s, prefiller, spec, uncached-u) < work {
			source, work, uncached = s, w+kvTransferTime(s, prefiller, spec, uncached-u), u
		}
	}
	running, targetWork := target.totalLoad()
	backlog = targetWork
	decodeStart := firstTokenDelay + runningRequestDelay*float64(running)
	if prefiller != target {
		_, backlog = prefiller.totalLoad()
		decodeStart += targetWork/4 + kvTransferTime(prefiller, target, spec, j.Prompt.Tokens) + b.hopCost(target)
	}
	backlogShare := 1.0
	if j.Prompt.Tokens <= maxShortPrompt {
		backlogShare = shortBacklogShare
	}
	if prefiller != target {
		decodeStart += prefillOverhead
	}
	first := b.hopCost(prefiller) + backlogShare*backlog + work + decodeStart
	// Prefilling shared segments here, which another engine may have done already,
	// takes time from other requests.
	penalty := float64(max(0, uncached-unsharedTokens(j.Prompt))) / prefillSpeed
	// Segments that are new to an engine evict others from its cache.
	penalty += evictionCostShare * float64(b.uncachedSharedTokens(prefiller, j.Prompt)) / prefillSpeed
	if prefiller != target {
		penalty += evictionCostShare * float64(b.uncachedSharedTokens(target, j.Prompt)) / prefillSpeed
	}
	// Prefill at a generating engine delays each token of the requests it runs.
	if prefiller == target {
		penalty += decodeStallShare * work * float64(running)
	}
	last := first + target.decodeTime(j, running, targetWork)
	penalty += max(0, last+lastEventMargin-float64(j.Deadline-now))
	risk := failureCost * (prefiller.currentFailureRate(now) + target.currentFailureRate(now))
	p = &Plan{Target: target.Endpoint, ExpectedFirst: mn.Millis(first), ExpectedLast: mn.Millis(last), ExpectedPrefill: mn.Millis(backlogShare*backlog + work), Backlog: mn.Millis(backlog), Uncached: uncached, prefillWork: work, prompt: j.Prompt}
	if source != nil {
		e := source.Endpoint
		p.CachedBy = &e
	}
	p.Rank = b.rank(j)
	if prefiller != target {
		e := prefiller.Endpoint
		p.Prefiller = &e
		p.PrefillRank = p.Rank
		if !b.disabled(EngineRanks) {
			p.Rank = rankPrefilled
		}
	}
	return p, first + penalty + risk, backlog
}

// uncachedSharedTokens returns how many tokens of the prompt's shared segments are
// not cached at s.
func (b *Balancer) uncachedSharedTokens(s *endpointState, info *mn.PromptInfo) int64 {
	return max(0, info.Tokens-unsharedTokens(info)-s.cache.cachedTokens(info))
}

// decodeTime returns how long s takes to generate a request's maximum output, in
// milliseconds, next to its running requests and prefill work.
func (s *endpointState) decodeTime(j *Job, running int64, prefillWork float64) float64 {
	step := decodeStepBase + decodeStepPerRequest*float64(running)
	if prefillWork > 0 {
		step += prefillChunkTime
	}
	return s.slowdown * step * float64(j.Prompt.MaxOutput)
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
func (b *Balancer) cacheSources(j *Job, now mn.Millis) []cacheSource {
	if j.Prompt.Tokens < minFetchTokens || b.disabled(CacheFetch) {
		return nil
	}
	var out []cacheSource
	for _, s := range b.byPool[j.Pool] {
		if now < s.pausedUntil || s.pause > 0 {
			continue
		}
		if n := s.cache.cachedTokens(j.Prompt); n >= minFetchTokens {
			out = append(out, cacheSource{s, n})
		}
	}
	return out
}

// bestCacheSource returns the engine from which prefiller can fetch the longest start of
// the prompt, and how many tokens prefiller would then have cached. An engine counts only
// if it has more than minFetchTokens beyond what prefiller has cached itself; without
// one, best is nil.
func bestCacheSource(j *Job, prefiller *endpointState, sources []cacheSource) (best *endpointState, cached int64) {
	cached = prefiller.cache.cachedTokens(j.Prompt) + minFetchTokens
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

// kvTransferTime returns how long target takes to fetch the KV cache of the given
// number of tokens from source, in milliseconds.
func kvTransferTime(source, target *endpointState, spec mn.EngineSpec, tokens int64) float64 {
	t := kvTransferSetup
	if spec.LinkMbps > 0 {
		t += float64(tokens*spec.KVBytesPerToken*8) / (spec.LinkMbps * 1e3)
	}
	if source.DataCentre != target.DataCentre {
		t *= 2
	}
	return t * source.slowdown
}

// hasRoom reports whether s may run one more request.
func (s *endpointState) hasRoom() bool {
	n, _ := s.totalLoad()
	return float64(n) < maxOccupancy*float64(s.Capacity)
}

// chooseAffinityEngines returns the engines to which the prompt's first segment is
// assigned by rendezvous hashing, so that all fronts choose the same ones.
func chooseAffinityEngines(info *mn.PromptInfo, usable []*endpointState) []*endpointState {
	key := ""
	if len(info.Segments) > 0 {
		key = info.Segments[0].ID
	}
	return rendez.TopBy(key, usable, affinityEngines, func(s *endpointState) mn.EndpointID { return s.ID })
}
