package route

import (
	"context"
	"math"

	mn "mustardnotch"
)

// minSplitPrompt is the minimum length of a prompt, in tokens, for which prefill at
// another agent is considered.
const minSplitPrompt = 256

// RoutePrefill implements [mn.PrefillRouter]. With round robin, every prompt is
// prefilled by an engine with the prefill role if there is one.
func (t *Table) RoutePrefill(_ context.Context, w mn.Work) (mn.Member, func(error), bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync()
	now := t.clock.Now()
	choices := t.candidates(w, now, isPrefiller)
	if len(choices) == 0 {
		return mn.Member{}, nil, false
	}
	blocks := t.blocks(w)
	req := t.newRequest(w, now)
	req.outputTokens = 0
	var a *agent
	if t.settings.Policy == RoundRobin {
		a = t.pickRoundRobin(w.Pool+"/prefill", choices)
	} else {
		if req.prefillTokens < minSplitPrompt {
			return mn.Member{}, nil, false
		}
		a = t.pickBest(choices, blocks, req, now)
		if !t.splitPays(a, req, w, blocks, now) {
			return mn.Member{}, nil, false
		}
	}
	prefilledElsewhere.Add(1)
	return a.member, t.recordStart(a, req, blocks), true
}

// splitPays reports whether prefill at a, transfer of the KV cache and decode at
// the best agent for it takes less time than prefill and decode at one agent. It
// returns false if no agent can generate.
func (t *Table) splitPays(a *agent, req *request, w mn.Work, blocks []Block, now mn.Millis) bool {
	cached := t.index.cachedTokens(blocks, t.agents)
	full := t.newRequest(w, now)
	transferred := *full
	transferred.prefillTokens = 0
	unsplit, split := math.Inf(1), math.Inf(1)
	for _, g := range t.candidates(w, now, canGenerate) {
		unsplit = min(unsplit, t.estimate(g, full, cached, now).millis)
		split = min(split, t.estimate(g, &transferred, nil, now).millis)
	}
	transfer := float64(len(w.Prompt)) / bytesPerToken * t.settings.KVTransferMillis
	return a.answerMillis(req, now)+transfer+split < unsplit
}
