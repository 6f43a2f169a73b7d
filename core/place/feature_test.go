package place

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// Each feature must change something that a caller or an engine sees. Otherwise a run
// with the feature switched off would measure nothing.
func TestFeaturesCanBeDisabled(t *testing.T) {
	// addPeerLoad has a peer front report prefill work at all engines.
	addPeerLoad := func(b *Balancer, prefillTime mn.Millis) {
		f := mn.FrontState{VM: "other", Scope: mn.ScopeAll}
		for _, e := range engines() {
			f.Loads = append(f.Loads, mn.EndpointLoad{Endpoint: e.ID, Requests: 2, PrefillTime: prefillTime})
		}
		b.ReceiveState(f)
	}
	tests := map[Feature]func(b *Balancer, clock *mn.ManualClock) bool{
		CacheAffinity: func(b *Balancer, clock *mn.ManualClock) bool {
			prefillers, _ := splitByRole(b.byPool[pool])
			chosen := b.engines[pool].affinityEngines(long(1, 1), prefillers, clock.Now())
			require.Len(t, chosen, minAffinityEngines)
			f := mn.FrontState{VM: "other", Scope: mn.ScopeAll}
			for _, s := range chosen { // a little more to do than the third prefill engine
				f.Loads = append(f.Loads, mn.EndpointLoad{Endpoint: s.ID, PrefillTime: 20})
			}
			b.ReceiveState(f)
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			return !slices.ContainsFunc(chosen, func(s *endpointState) bool { return s.ID == p.Prefiller.ID })
		},
		SeparatePrefill: func(b *Balancer, clock *mn.ManualClock) bool {
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			return p == nil || p.Prefiller == nil
		},
		CacheFetch: func(b *Balancer, clock *mn.ManualClock) bool {
			prefillers, targets := splitByRole(b.byPool[pool])
			for _, s := range targets {
				if !slices.Contains(b.engines[pool].affinityEngines(long(1, 1), targets, clock.Now()), s) {
					b.addCachedPrompts([]mn.PrefilledPrompt{{Endpoint: s.ID, Segments: long(1, 2).Segments}})
				}
			}
			require.Len(t, prefillers, 3)
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			return p.CachedBy == nil
		},
		Queueing: func(b *Balancer, clock *mn.ManualClock) bool {
			addPeerLoad(b, 600)
			ctx, cancel := context.WithCancel(t.Context())
			cancel() // ends the wait
			_, rejection := NewQueues(b, clock).Place(ctx, job(clock, long(1, 1)))
			return rejection != nil
		},
		LateSends: func(b *Balancer, clock *mn.ManualClock) bool {
			addPeerLoad(b, 400)
			j := job(clock, long(1, 1))
			j.Prompt.Tokens, j.Prompt.Segments[0].Tokens, j.Prompt.MaxOutput = 40_000, 36_300, 250
			b.isLong(j)                              // on arrival
			j.FirstEventDeadline = clock.Now() + 100 // after a wait
			_, c := b.Choose(j, true)
			return c != SendLate
		},
		EngineRanks: func(b *Balancer, clock *mn.ManualClock) bool {
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			q, _ := b.Choose(job(clock, short(1)), true)
			return p.PrefillRank == q.Rank
		},
		UrgentUpdates: func(b *Balancer, clock *mn.ManualClock) bool {
			before := b.UrgentUpdates()
			b.Choose(job(clock, long(1, 1)), true)
			return b.UrgentUpdates() == before
		},
		PeerLoad: func(b *Balancer, clock *mn.ManualClock) bool {
			addPeerLoad(b, 600)
			_, c := b.Choose(job(clock, long(1, 1)), true)
			return c == Send
		},
		LearnedSpeeds: func(b *Balancer, clock *mn.ManualClock) bool {
			p, _ := b.Choose(job(clock, long(1, 1)), true)
			b.PrefillDone(p, 3000)
			for _, v := range b.EngineValues()[pool] {
				if v.Observations > 0 {
					return false
				}
			}
			return true
		},
		Paces: func(b *Balancer, clock *mn.ManualClock) bool {
			p, _ := b.Choose(job(clock, short(1)), true)
			b.ObserveReply(p.Target, mn.ReplyInfo{Pace: 100})
			b.ObserveReply(p.Target, mn.ReplyInfo{Pace: 400})
			return b.endpoints[p.Target.ID].pace.factor(clock.Now()) == 1
		},
		SharedSpeeds: func(b *Balancer, clock *mn.ManualClock) bool {
			var prefill mn.EndpointID
			for id, s := range b.endpoints {
				if s.Role == mn.EnginePrefill {
					prefill = id
				}
			}
			b.ReceiveState(mn.FrontState{VM: "peer", Incarnation: "1", Speeds: []mn.EngineSpeed{{Endpoint: prefill, Counts: append(make([]uint32, speedBuckets-1), 9)}}})
			clock.Advance(speedUpdateInterval)
			b.Choose(job(clock, long(1, 1)), true)
			return b.endpoints[prefill].speed.factor() == 1
		},
	}
	require.Len(t, tests, len(Features))
	for f, hasNoEffect := range tests {
		t.Run(string(f), func(t *testing.T) {
			clock := mn.NewManualClock(1_000_000)
			require.False(t, hasNoEffect(newBalancer(clock, "dc-0"), clock), "an enabled feature has an effect")
			b := New(Config{DataCentre: "dc-0", Disabled: []Feature{f}}, clock)
			b.SetPools(map[mn.PoolID]mn.PoolSpec{pool: spec, "plain": {ID: "plain"}})
			b.SetEndpoints(engines())
			require.True(t, hasNoEffect(b, mn.NewManualClock(1_000_000)), "a disabled feature has no effect")
		})
	}
}
