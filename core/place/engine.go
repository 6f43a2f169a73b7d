package place

import (
	"math"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

const (
	// prefillSpeed is how many prompt tokens an engine that only reads prompts takes
	// in a millisecond, before its speed is learned; from the users' sheets.
	prefillSpeed = 112.0
	// mixedPrefillSpeed is the same at an engine that also generates: half the speed, in
	// small pieces between the steps of what runs.
	mixedPrefillSpeed = 38.0
	// attentionCost is the milliseconds for a million pairs of a token read and a
	// token before it; from the users' deployments.
	attentionCost = 0.22
	// firstTokenDelay is the time from the end of a prompt to its first event.
	firstTokenDelay = 45.0
	// prefillOverhead is what reading a prompt for another engine takes beside its
	// tokens.
	prefillOverhead = 40.0
	// shortBacklogShare is the part of the reading before a short prompt for which it
	// waits.
	shortBacklogShare = 0.55
	// kvTransferSetup is the time that a transfer of a prompt's KV cache takes
	// beside its bytes.
	kvTransferSetup = 8.0
	// maxShortPrompt is the most tokens to be read that an engine reads beside the
	// generations that it runs, rather than another engine for it.
	maxShortPrompt = 1200
	// maxLocalPrefill is the most tokens of a long prompt that an engine reads beside
	// the generations that it runs: more would hold up their tokens and the
	// short prompts behind it.
	maxLocalPrefill = 6000
	// minUrgentWork is the reading, in milliseconds, of which other fronts hear at
	// once.
	minUrgentWork = 15.0
	// minFetchTokens is the least tokens for which a transfer between engines is
	// faster than reading them.
	minFetchTokens = 2000
	// affinityEngines is how many engines of a role may hold a shared part.
	affinityEngines = 2
	// runningRequestDelay is what each running request adds to a step, in milliseconds, at
	// about the number of steps until an event.
	runningRequestDelay = 0.9
	// evictionCostShare is what it costs that an engine gets a token of a shared part
	// which it did not have, as a share of reading it.
	evictionCostShare = 0.3
	// decodeStallShare is what a millisecond of reading at a generating engine costs for
	// each request that it runs, as a share of it.
	decodeStallShare = 0.02
	// decodeStepBase, decodeStepPerRequest and prefillChunkTime make up the time of a step, in
	// milliseconds: alone, for each running request, and with a piece of a prompt;
	// from the users' sheets.
	decodeStepBase, decodeStepPerRequest, prefillChunkTime = 3.5, 0.1, 9.0
	// busyDecodeStep is the step of a generating engine that runs some 40 requests.
	busyDecodeStep = 8.0
	// lastEventMargin is kept between the expected last token and a request's end.
	lastEventMargin = 200.0
	// maxOccupancy keeps some of an engine's places for what other fronts have
	// sent and not yet told.
	maxOccupancy = 0.85
)

// estimatePrefill returns the time in which s reads the prompt, and the tokens that it
// reads.
func (b *Balancer) estimatePrefill(s *endpointState, info *mn.PromptInfo) (work float64, missing int64) {
	return b.estimatePrefillWith(s, info, s.cache.cachedTokens(info))
}

// estimatePrefillWith returns the same for an engine that has the first tokens of the prompt.
func (b *Balancer) estimatePrefillWith(s *endpointState, info *mn.PromptInfo, has int64) (work float64, missing int64) {
	missing = max(1, info.Tokens-min(has, info.Tokens-1))
	pace := mixedPrefillSpeed
	if s.Role == mn.EnginePrefill {
		pace = prefillSpeed
	}
	before := float64(info.Tokens) - float64(missing)/2
	return s.slowdown * (float64(missing)/pace + attentionCost*float64(missing)*before/1e6), missing
}

// chooseEngine returns the best plan for a prompt, and the reading that is
// before it at its reader.
func (b *Balancer) chooseEngine(j *Job, usable []*endpointState, spec mn.EngineSpec, now mn.Millis) (*Plan, float64) {
	var best *Plan
	var backlog float64
	low := math.Inf(1)
	keepers := b.cacheSources(j, now)
	consider := func(reader, target *endpointState) {
		p, cost, before := b.plan(j, reader, target, keepers, spec, now)
		if cost < low {
			best, low, backlog = p, cost, before
		}
	}
	readers, targets := splitByRole(usable)
	if j.Prompt.Tokens <= maxShortPrompt {
		reader := leastBusy(readers)
		for _, t := range targets {
			if !t.hasRoom() {
				continue
			}
			consider(t, t)
			if reader != nil {
				consider(reader, t)
			}
		}
		return best, backlog
	}
	if b.disabled(SeparatePrefill) {
		readers = nil
	}
	if !b.disabled(CacheAffinity) {
		readers, targets = chooseAffinityEngines(j.Prompt, readers), chooseAffinityEngines(j.Prompt, targets)
	}
	for _, t := range targets {
		if !t.hasRoom() {
			continue
		}
		for _, r := range readers {
			consider(r, t)
		}
		if _, missing := b.estimatePrefill(t, j.Prompt); missing <= maxLocalPrefill || len(readers) == 0 {
			consider(t, t)
		}
	}
	return best, backlog
}

// leastBusy returns the engine with the least reading before it, nil for none.
func leastBusy(engines []*endpointState) *endpointState {
	var best *endpointState
	low := math.Inf(1)
	for _, s := range engines {
		if _, reading := s.totalLoad(); reading < low {
			best, low = s, reading
		}
	}
	return best
}

// splitByRole divides engines into those that only read prompts and those that
// generate.
func splitByRole(usable []*endpointState) (readers, targets []*endpointState) {
	for _, s := range usable {
		if s.Role == mn.EnginePrefill {
			readers = append(readers, s)
		} else {
			targets = append(targets, s)
		}
	}
	return readers, targets
}

// plan estimates a prompt that reader reads and target goes on with.
func (b *Balancer) plan(j *Job, reader, target *endpointState, keepers []cacheSource, spec mn.EngineSpec, now mn.Millis) (p *Plan, cost, backlog float64) {
	work, missing := b.estimatePrefill(reader, j.Prompt)
	var keeper *endpointState
	if keep, fetched := bestCacheSource(j, reader, keepers); keep != nil {
		if w, m := b.estimatePrefillWith(reader, j.Prompt, fetched); w+kvTransferTime(keep, reader, spec, missing-m) < work {
			keeper, work, missing = keep, w+kvTransferTime(keep, reader, spec, missing-m), m
		}
	}
	running, reading := target.totalLoad()
	backlog = reading
	first := firstTokenDelay + runningRequestDelay*float64(running)
	if reader != target {
		_, backlog = reader.totalLoad()
		first += reading/4 + kvTransferTime(reader, target, spec, j.Prompt.Tokens) + b.hopCost(target)
	}
	behind := 1.0
	if j.Prompt.Tokens <= maxShortPrompt {
		behind = shortBacklogShare
	}
	if reader != target {
		first += prefillOverhead
	}
	expect := b.hopCost(reader) + behind*backlog + work + first
	// What has to be read again elsewhere takes time from others.
	again := float64(max(0, missing-unsharedTokens(j.Prompt))) / prefillSpeed
	// What an engine gets anew takes the place of parts that it keeps for others.
	again += evictionCostShare * float64(b.uncachedSharedTokens(reader, j.Prompt)) / prefillSpeed
	if reader != target {
		again += evictionCostShare * float64(b.uncachedSharedTokens(target, j.Prompt)) / prefillSpeed
	}
	// What a generating engine reads holds up each token of what it runs.
	if reader == target {
		again += decodeStallShare * work * float64(running)
	}
	last := expect + target.decodeTime(j, running, reading)
	again += max(0, last+lastEventMargin-float64(j.Deadline-now))
	fail := failureCost * (reader.currentFailureRate(now) + target.currentFailureRate(now))
	p = &Plan{Target: target.Endpoint, ExpectedFirst: mn.Millis(expect), ExpectedLast: mn.Millis(last), ExpectedPrefill: mn.Millis(behind*backlog + work), Backlog: mn.Millis(backlog), Uncached: missing, prefillWork: work, prompt: j.Prompt}
	if keeper != nil {
		e := keeper.Endpoint
		p.CachedBy = &e
	}
	p.Rank = b.rank(j)
	if reader != target {
		e := reader.Endpoint
		p.Prefiller = &e
		p.PrefillRank = p.Rank
		if !b.disabled(EngineRanks) {
			p.Rank = rankPrefilled
		}
	}
	return p, expect + again + fail, backlog
}

// uncachedSharedTokens returns how many tokens of the prompt's shared parts s does not have.
func (b *Balancer) uncachedSharedTokens(s *endpointState, info *mn.PromptInfo) int64 {
	return max(0, info.Tokens-unsharedTokens(info)-s.cache.cachedTokens(info))
}

// decodeTime returns the time in which s generates all of a request's output beside
// what it runs and reads.
func (s *endpointState) decodeTime(j *Job, running int64, reading float64) float64 {
	step := decodeStepBase + decodeStepPerRequest*float64(running)
	if reading > 0 {
		step += prefillChunkTime
	}
	return s.slowdown * step * float64(j.Prompt.MaxOutput)
}

// unsharedTokens returns the tokens of the prompt's last part, which it shares with none.
func unsharedTokens(info *mn.PromptInfo) int64 {
	if len(info.Segments) == 0 {
		return info.Tokens
	}
	return info.Segments[len(info.Segments)-1].Tokens
}

// cacheSource says how many tokens at the start of a prompt an engine has.
type cacheSource struct {
	*endpointState
	cachedTokens int64
}

// cacheSources returns the engines from which parts of the prompt could be fetched.
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

// bestCacheSource returns the engine from which reader can fetch most of the prompt's
// shared parts beyond what it has itself, and how many tokens it would have then.
func bestCacheSource(j *Job, reader *endpointState, keepers []cacheSource) (keep *endpointState, has int64) {
	has = reader.cache.cachedTokens(j.Prompt) + minFetchTokens
	for _, k := range keepers {
		if k.endpointState == reader {
			continue
		}
		if k.cachedTokens > has || k.cachedTokens == has && keep != nil && k.DataCentre == reader.DataCentre {
			keep, has = k.endpointState, k.cachedTokens
		}
	}
	return keep, has
}

// kvTransferTime returns the time in which target fetches a prompt from reader.
func kvTransferTime(reader, target *endpointState, spec mn.EngineSpec, tokens int64) float64 {
	t := kvTransferSetup
	if spec.LinkMbps > 0 {
		t += float64(tokens*spec.KVBytesPerToken*8) / (spec.LinkMbps * 1e3)
	}
	if reader.DataCentre != target.DataCentre {
		t *= 2
	}
	return t * reader.slowdown
}

// hasRoom says whether s may run one more request.
func (s *endpointState) hasRoom() bool {
	n, _ := s.totalLoad()
	return float64(n) < maxOccupancy*float64(s.Capacity)
}

// chooseAffinityEngines returns the engines that may hold the prompt's first shared part, by
// rendezvous hashing, so that all fronts find the same ones.
func chooseAffinityEngines(info *mn.PromptInfo, usable []*endpointState) []*endpointState {
	key := ""
	if len(info.Segments) > 0 {
		key = info.Segments[0].ID
	}
	return rendez.TopBy(key, usable, affinityEngines, func(s *endpointState) mn.EndpointID { return s.ID })
}
