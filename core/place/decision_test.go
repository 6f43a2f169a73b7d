package place

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// Each decision changes something that a caller or an engine sees, so that a run
// without it measures it.
func TestDecisionsCanBeSwitchedOff(t *testing.T) {
	// crowd has other fronts fill the engines' time with prompts.
	crowd := func(b *Board, reading mn.Millis) {
		f := mn.Facts{VM: "other", Scope: mn.ScopeAll}
		for _, e := range engines() {
			f.Uses = append(f.Uses, mn.EndpointUse{Endpoint: e.ID, Requests: 2, Prefill: reading})
		}
		b.Hear(f)
	}
	tests := map[Decision]func(b *Board, clock *mn.ManualClock) bool{
		Homes: func(b *Board, clock *mn.ManualClock) bool {
			used := map[mn.EndpointID]bool{}
			for i := range 9 { // one chain, more prompts at once than two readers take
				if p, _ := b.Choose(job(clock, long(1, i)), true); p != nil && p.Reader != nil {
					used[p.Reader.ID] = true
				}
			}
			return len(used) > homes
		},
		Apart: func(b *Board, clock *mn.ManualClock) bool {
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			return p == nil || p.Reader == nil
		},
		Fetching: func(b *Board, clock *mn.ManualClock) bool {
			readers, targets := split(b.byPool[pool])
			for _, s := range targets {
				if !slices.Contains(homesOf(long(1, 1), targets), s) {
					b.heardReads([]mn.PromptRead{{Endpoint: s.ID, Parts: long(1, 2).Parts}})
				}
			}
			require.Len(t, readers, 3)
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			return p.KeptBy == nil
		},
		Waiting: func(b *Board, clock *mn.ManualClock) bool {
			crowd(b, 600)
			gone, cancel := context.WithCancel(t.Context())
			cancel() // ends the wait
			_, refusal := NewLines(b, clock).Place(gone, job(clock, long(1, 1)))
			return refusal != nil
		},
		Late: func(b *Board, clock *mn.ManualClock) bool {
			crowd(b, 400)
			j := job(clock, long(1, 1))
			j.Prompt.Tokens, j.Prompt.Parts[0].Tokens, j.Prompt.MaxOutput = 40_000, 36_300, 250
			j.GoalAt = clock.Now() + 100
			_, c := b.Choose(j, true)
			return c != SendLate
		},
		Ranks: func(b *Board, clock *mn.ManualClock) bool {
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			q, _ := b.Choose(job(clock, short(1)), true)
			return p.ReadUrgency == q.Urgency
		},
		News: func(b *Board, clock *mn.ManualClock) bool {
			before := b.News()
			b.Choose(job(clock, long(1, 1)), true)
			return b.News() == before
		},
		Others: func(b *Board, clock *mn.ManualClock) bool {
			crowd(b, 600)
			_, c := b.Choose(job(clock, long(1, 1)), true)
			return c == Send
		},
		Speeds: func(b *Board, clock *mn.ManualClock) bool {
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			b.HasRead(p, 3000)
			return b.endpoints[p.reader()].slow == 1
		},
	}
	require.Len(t, tests, len(Decisions))
	for d, off := range tests {
		t.Run(string(d), func(t *testing.T) {
			clock := mn.NewManualClock(1_000_000)
			require.False(t, off(newBoard(clock, "dc-0"), clock), "with it")
			b := New(Config{DataCentre: "dc-0", Without: []Decision{d}}, clock)
			b.Declare(map[mn.PoolID]mn.PoolSpec{pool: spec, "plain": {ID: "plain"}})
			b.Update(engines())
			require.True(t, off(b, mn.NewManualClock(1_000_000)), "without it")
		})
	}
}
