package place

import (
	"math"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

const (
	// readPace is how many prompt tokens an engine that only reads prompts takes
	// in a millisecond, before its speed is learned; from the users' sheets.
	readPace = 112.0
	// mixedPace is the same at an engine that also generates: half the speed, in
	// small pieces between the steps of what runs.
	mixedPace = 38.0
	// pairCost is the milliseconds for a million pairs of a token read and a
	// token before it; from the users' deployments.
	pairCost = 0.22
	// firstToken is the time from the end of a prompt to its first event.
	firstToken = 45.0
	// readFixed is what reading a prompt for another engine takes beside its
	// tokens.
	readFixed = 40.0
	// shortBehind is the part of the reading before a short prompt for which it
	// waits.
	shortBehind = 0.55
	// handoffSetup is the time that a transfer of a prompt's KV cache takes
	// beside its bytes.
	handoffSetup = 8.0
	// shortPrompt is the most tokens to be read that an engine reads beside the
	// generations that it runs, rather than another engine for it.
	shortPrompt = 1200
	// directMost is the most tokens of a long prompt that an engine reads beside
	// the generations that it runs: more would hold up their tokens and the
	// short prompts behind it.
	directMost = 6000
	// newsWork is the reading, in milliseconds, of which other fronts hear at
	// once.
	newsWork = 15.0
	// fetchLeast is the least tokens for which a transfer between engines is
	// faster than reading them.
	fetchLeast = 2000
	// homes is how many engines of a role may hold a shared part.
	homes = 2
	// stepCost is what each running request adds to a step, in milliseconds, at
	// about the number of steps until an event.
	stepCost = 0.9
	// crowdShare is what it costs that an engine gets a token of a shared part
	// which it did not have, as a share of reading it.
	crowdShare = 0.3
	// stallShare is what a millisecond of reading at a generating engine costs for
	// each request that it runs, as a share of it.
	stallShare = 0.02
	// stepBase, stepEach and chunkTime make up the time of a step, in
	// milliseconds: alone, for each running request, and with a piece of a prompt;
	// from the users' sheets.
	stepBase, stepEach, chunkTime = 3.5, 0.1, 9.0
	// busyStep is the step of a generating engine that runs some 40 requests.
	busyStep = 8.0
	// lastMargin is kept between the expected last token and a request's end.
	lastMargin = 200.0
	// fullMargin keeps some of an engine's places for what other fronts have
	// sent and not yet told.
	fullMargin = 0.85
)

// read returns the time in which s reads the prompt, and the tokens that it
// reads.
func (b *Balancer) read(s *state, info *mn.PromptInfo) (work float64, missing int64) {
	return b.readBut(s, info, s.parts.cached(info))
}

// readBut returns the same for an engine that has the first tokens of the prompt.
func (b *Balancer) readBut(s *state, info *mn.PromptInfo, has int64) (work float64, missing int64) {
	missing = max(1, info.Tokens-min(has, info.Tokens-1))
	pace := mixedPace
	if s.Role == mn.EnginePrefill {
		pace = readPace
	}
	before := float64(info.Tokens) - float64(missing)/2
	return s.slow * (float64(missing)/pace + pairCost*float64(missing)*before/1e6), missing
}

// chooseEngine returns the best plan for a prompt, and the reading that is
// before it at its reader.
func (b *Balancer) chooseEngine(j *Job, usable []*state, spec mn.EngineSpec, now mn.Millis) (*Plan, float64) {
	var best *Plan
	var backlog float64
	low := math.Inf(1)
	keepers := b.keepers(j, now)
	consider := func(reader, target *state) {
		p, cost, before := b.plan(j, reader, target, keepers, spec, now)
		if cost < low {
			best, low, backlog = p, cost, before
		}
	}
	readers, targets := split(usable)
	if j.Prompt.Tokens <= shortPrompt {
		reader := idlest(readers)
		for _, t := range targets {
			if !t.room() {
				continue
			}
			consider(t, t)
			if reader != nil {
				consider(reader, t)
			}
		}
		return best, backlog
	}
	if b.without(SeparatePrefill) {
		readers = nil
	}
	if !b.without(CacheAffinity) {
		readers, targets = homesOf(j.Prompt, readers), homesOf(j.Prompt, targets)
	}
	for _, t := range targets {
		if !t.room() {
			continue
		}
		for _, r := range readers {
			consider(r, t)
		}
		if _, missing := b.read(t, j.Prompt); missing <= directMost || len(readers) == 0 {
			consider(t, t)
		}
	}
	return best, backlog
}

// idlest returns the engine with the least reading before it, nil for none.
func idlest(engines []*state) *state {
	var best *state
	low := math.Inf(1)
	for _, s := range engines {
		if _, reading := s.load(); reading < low {
			best, low = s, reading
		}
	}
	return best
}

// split divides engines into those that only read prompts and those that
// generate.
func split(usable []*state) (readers, targets []*state) {
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
func (b *Balancer) plan(j *Job, reader, target *state, keepers []kept, spec mn.EngineSpec, now mn.Millis) (p *Plan, cost, backlog float64) {
	work, missing := b.read(reader, j.Prompt)
	var keeper *state
	if keep, fetched := keeperFor(j, reader, keepers); keep != nil {
		if w, m := b.readBut(reader, j.Prompt, fetched); w+handoff(keep, reader, spec, missing-m) < work {
			keeper, work, missing = keep, w+handoff(keep, reader, spec, missing-m), m
		}
	}
	running, reading := target.load()
	backlog = reading
	first := firstToken + stepCost*float64(running)
	if reader != target {
		_, backlog = reader.load()
		first += reading/4 + handoff(reader, target, spec, j.Prompt.Tokens) + b.hop(target)
	}
	behind := 1.0
	if j.Prompt.Tokens <= shortPrompt {
		behind = shortBehind
	}
	if reader != target {
		first += readFixed
	}
	expect := b.hop(reader) + behind*backlog + work + first
	// What has to be read again elsewhere takes time from others.
	again := float64(max(0, missing-own(j.Prompt))) / readPace
	// What an engine gets anew takes the place of parts that it keeps for others.
	again += crowdShare * float64(b.lacks(reader, j.Prompt)) / readPace
	if reader != target {
		again += crowdShare * float64(b.lacks(target, j.Prompt)) / readPace
	}
	// What a generating engine reads holds up each token of what it runs.
	if reader == target {
		again += stallShare * work * float64(running)
	}
	last := expect + target.generate(j, running, reading)
	again += max(0, last+lastMargin-float64(j.Deadline-now))
	fail := failCost * (reader.failing(now) + target.failing(now))
	p = &Plan{Target: target.Endpoint, ExpectedFirst: mn.Millis(expect), ExpectedLast: mn.Millis(last), ExpectedPrefill: mn.Millis(behind*backlog + work), Backlog: mn.Millis(backlog), Uncached: missing, work: work, prompt: j.Prompt}
	if keeper != nil {
		e := keeper.Endpoint
		p.CachedBy = &e
	}
	p.Rank = b.rank(j)
	if reader != target {
		e := reader.Endpoint
		p.Prefiller = &e
		p.PrefillRank = p.Rank
		if !b.without(EngineRanks) {
			p.Rank = rankRead
		}
	}
	return p, expect + again + fail, backlog
}

// lacks returns how many tokens of the prompt's shared parts s does not have.
func (b *Balancer) lacks(s *state, info *mn.PromptInfo) int64 {
	return max(0, info.Tokens-own(info)-s.parts.cached(info))
}

// generate returns the time in which s generates all of a request's output beside
// what it runs and reads.
func (s *state) generate(j *Job, running int64, reading float64) float64 {
	step := stepBase + stepEach*float64(running)
	if reading > 0 {
		step += chunkTime
	}
	return s.slow * step * float64(j.Prompt.MaxOutput)
}

// own returns the tokens of the prompt's last part, which it shares with none.
func own(info *mn.PromptInfo) int64 {
	if len(info.Segments) == 0 {
		return info.Tokens
	}
	return info.Segments[len(info.Segments)-1].Tokens
}

// kept says how many tokens at the start of a prompt an engine has.
type kept struct {
	*state
	tokens int64
}

// keepers returns the engines from which parts of the prompt could be fetched.
func (b *Balancer) keepers(j *Job, now mn.Millis) []kept {
	if j.Prompt.Tokens < fetchLeast || b.without(CacheFetch) {
		return nil
	}
	var out []kept
	for _, s := range b.byPool[j.Pool] {
		if now < s.pausedUntil || s.pause > 0 {
			continue
		}
		if n := s.parts.cached(j.Prompt); n >= fetchLeast {
			out = append(out, kept{s, n})
		}
	}
	return out
}

// keeperFor returns the engine from which reader can fetch most of the prompt's
// shared parts beyond what it has itself, and how many tokens it would have then.
func keeperFor(j *Job, reader *state, keepers []kept) (keep *state, has int64) {
	has = reader.parts.cached(j.Prompt) + fetchLeast
	for _, k := range keepers {
		if k.state == reader {
			continue
		}
		if k.tokens > has || k.tokens == has && keep != nil && k.DataCentre == reader.DataCentre {
			keep, has = k.state, k.tokens
		}
	}
	return keep, has
}

// handoff returns the time in which target fetches a prompt from reader.
func handoff(reader, target *state, spec mn.EngineSpec, tokens int64) float64 {
	t := handoffSetup
	if spec.LinkMbps > 0 {
		t += float64(tokens*spec.KVBytesPerToken*8) / (spec.LinkMbps * 1e3)
	}
	if reader.DataCentre != target.DataCentre {
		t *= 2
	}
	return t * reader.slow
}

// room says whether s may run one more request.
func (s *state) room() bool {
	n, _ := s.load()
	return float64(n) < fullMargin*float64(s.Capacity)
}

// homesOf returns the engines that may hold the prompt's first shared part, by
// rendezvous hashing, so that all fronts find the same ones.
func homesOf(info *mn.PromptInfo, usable []*state) []*state {
	key := ""
	if len(info.Segments) > 0 {
		key = info.Segments[0].ID
	}
	return rendez.TopBy(key, usable, homes, func(s *state) mn.EndpointID { return s.ID })
}
