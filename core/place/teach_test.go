package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/perf"
)

// engineType describes engines of the emulator, in tokens and milliseconds.
type engineType struct {
	name string
	// prefillPerMs is how many tokens an engine that only prefills processes in a
	// millisecond, and attention the time for a million pairs of tokens.
	prefillPerMs, attention float64
	// firstDelay is the fixed time until an answer begins.
	firstDelay float64
	// step and stepPerRequest are the time of a decode step, chunk the tokens that an
	// engine prefills in one.
	step, stepPerRequest float64
	chunk                int64
	// tokensPerEvent, slots and kvTokens are declared.
	tokensPerEvent, slots, kvTokens int64
}

// fastReaders are the engines of the users' first deployments.
var fastReaders = engineType{name: "fast readers, wide batches", prefillPerMs: 112, attention: 0.22, firstDelay: 31,
	step: 3.4, stepPerRequest: 0.1, chunk: 2048, tokensPerEvent: 12, slots: 128, kvTokens: 760_000}

func (t engineType) spec() mn.PoolSpec {
	return mn.PoolSpec{ID: pool, Engine: &mn.EngineSpec{Capacity: t.slots, KVTokens: t.kvTokens, KVBytesPerToken: 18_432, LinkMbps: 320_000,
		TokensPerEvent: t.tokensPerEvent, LocalPrefillSpeed: 0.5, PauseGoal: 400}}
}

// localChunk is the number of tokens that an engine which generates prefills in a step.
func (t engineType) localChunk() float64 { return float64(t.chunk) / 4 }

// prefillTime returns how long an engine takes to prefill, in milliseconds.
func (t engineType) prefillTime(p perf.Prefill) float64 {
	work := float64(p.Uncached)/t.prefillPerMs + t.attention*float64(p.Uncached)*(float64(p.Tokens)-float64(p.Uncached)/2)/1e6
	if p.Local {
		work = 2*work + float64(p.Uncached)/t.localChunk()*t.step
	}
	return work
}

// teach gives a model the observations of an engine without other requests.
func (t engineType) teach(m *perf.Model, now mn.Millis) {
	for i := range int64(60) {
		for _, local := range []bool{false, true} {
			p := perf.Prefill{Local: local, Tokens: 500 + 300*i, Uncached: 300 + 150*i}
			m.ObservePrefill(p, t.firstDelay+t.prefillTime(p), 0, now)
		}
		running := i % min(t.slots, 40)
		m.ObserveInterval(float64(t.tokensPerEvent)*(t.step+t.stepPerRequest*float64(running)), running, 0, 0, now)
		m.ObserveStart(t.firstDelay/2, now)
	}
	full := float64(t.tokensPerEvent) * t.localChunk() * 2 / t.prefillPerMs
	for range 60 {
		m.ObserveInterval(full+float64(t.tokensPerEvent)*t.step, 0, 10_000, 10_000, now)
	}
}

// A front that starts gets from one exchange with a peer what the peer has learned of
// engines, and loses it when the peer is gone.
func TestStartingFrontGetsTimingsOfPeers(t *testing.T) {
	clock := mn.NewManualClock(1_000_000)
	taught, started := newBalancer(clock, "dc-0"), New(Config{DataCentre: "dc-0"}, clock)
	started.SetEndpoints(engines())
	prompt := perf.Prefill{Tokens: 17_000, Uncached: 17_000}
	want := taught.engines[pool].model.PrefillWork(prompt)

	var cursor Cursor
	timings := stateSince(taught, &cursor, true).Timings
	require.Len(t, timings, 1)
	started.ReceiveState(mn.FrontState{VM: "taught", Incarnation: "1", Scope: mn.ScopeAll, Timings: timings})
	started.SetPools(map[mn.PoolID]mn.PoolSpec{pool: spec}) // the configuration arrives later
	learned := started.engines[pool].model
	require.InEpsilon(t, want, learned.PrefillWork(prompt), 0.01)
	started.ReceiveState(mn.FrontState{VM: "taught", Incarnation: "1", Scope: mn.ScopeChanges, Timings: timings})
	require.InEpsilon(t, want, learned.PrefillWork(prompt), 0.01, "timings replace those sent before")

	timings = stateSince(taught, &cursor, false).Timings
	require.Empty(t, timings, "they are sent rarely")
	clock.Advance(youngTimingsInterval)
	timings = stateSince(taught, &cursor, false).Timings
	require.Len(t, timings, 1)
	clock.Advance(peerStateTTL + 1)
	started.Choose(job(clock, short(1)), false)
	require.InEpsilon(t, perf.New(*spec.Engine).PrefillWork(prompt), learned.PrefillWork(prompt), 0.01, "the peer is gone")
}
