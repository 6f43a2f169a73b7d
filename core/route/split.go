package route

import (
	"context"
	"math"

	mn "mustardnotch"
)

// minSplitPrompt is the shortest prompt, in tokens, worth prefilling elsewhere.
const minSplitPrompt = 256

// RoutePrefill implements [mn.PrefillRouter]. With round robin every prompt is
// prefilled by an engine of that role, if there is one.
func (t *Table) RoutePrefill(_ context.Context, w mn.Work) (mn.Member, func(error), bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sync()
	now := t.clock.Now()
	choices := t.candidates(w, now, prefills)
	if len(choices) == 0 {
		return mn.Member{}, nil, false
	}
	blocks := t.blocks(w)
	f := t.flight(w, now)
	f.output = 0
	var a *agent
	if t.settings.Policy == RoundRobin {
		a = t.inTurn(w.Pool+"/prefill", choices)
	} else {
		if f.prompt < minSplitPrompt {
			return mn.Member{}, nil, false
		}
		a = t.best(choices, blocks, f, now)
		if !t.splitPays(a, f, w, blocks, now) {
			return mn.Member{}, nil, false
		}
	}
	split.Add(1)
	return a.member, t.launch(a, f, blocks), true
}

// splitPays compares prefill at a with hand-over against the best agent that
// would do both. While no agent generates, nothing is gained.
func (t *Table) splitPays(a *agent, f *flight, w mn.Work, blocks []Block, now mn.Millis) bool {
	held := t.index.held(blocks, t.agents)
	whole := t.flight(w, now)
	handed := *whole
	handed.prompt = 0
	together, apart := math.Inf(1), math.Inf(1)
	for _, g := range t.candidates(w, now, generates) {
		together = min(together, t.option(g, whole, held, now).millis)
		apart = min(apart, t.option(g, &handed, nil, now).millis)
	}
	handover := float64(len(w.Prompt)) / bytesPerToken * t.settings.KVTransferMillis
	return a.expect(f, now)+handover+apart < together
}
