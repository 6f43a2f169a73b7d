package batch

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// runSteps runs steps until there is no work and returns their summed time.
func runSteps(e *Engine) Micros {
	var sum Micros
	for {
		took := e.beginStep()
		if took == 0 {
			return sum
		}
		e.finishStep()
		sum += took
	}
}

func prompt(tokens int, seed string) string { return (seed + strings.Repeat("x", 4*tokens))[:4*tokens] }

// TestStepTimesMatchClosedForm checks step times against the formulas in the package
// documentation.
func TestStepTimesMatchClosedForm(t *testing.T) {
	c := DefaultParams()
	ceil := func(a, b int64) Micros { return Micros((a + b - 1) / b) }
	tests := []struct {
		name           string
		requests       int
		prompt, output int64
		want           Micros
	}{
		{"one short", 1, 100, 10, c.Step + 100*c.Prefill + 9*(c.Step+c.Decode)},
		{"one long", 1, 5000, 40, ceil(5000, c.ChunkTokens)*c.Step + 5000*c.Prefill + 39*(c.Step+c.Decode)},
		{"one token", 1, 700, 1, 2*c.Step + 700*c.Prefill},
		{"a full batch", 16, 32, 20, c.Step + 16*32*c.Prefill + 19*(c.Step+16*c.Decode)},
		{"two batches", 32, 32, 20, 2 * (c.Step + 16*32*c.Prefill + 19*(c.Step+16*c.Decode))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New(mn.NewManualClock(1), c, "m", "1", "")
			for i := range tt.requests {
				g := mn.Generation{Prompt: prompt(int(tt.prompt), string(rune('a'+i))), MaxTokens: tt.output}
				_, err := e.accept(t.Context(), g)
				require.NoError(t, err)
			}
			require.Equal(t, tt.want, runSteps(e))
			require.EqualValues(t, int64(tt.requests)*tt.output, e.counters.OutputTokens)
			require.EqualValues(t, int64(tt.requests)*tt.prompt, e.counters.PrefillTokens)
		})
	}
}

func TestPrefixCache(t *testing.T) {
	c := DefaultParams()
	c.CacheTokens, c.EventLoss = 128, 0
	clock := mn.NewManualClock(1000)
	e := New(clock, c, "m", "1", "")
	run := func(seed string) Micros {
		_, err := e.accept(t.Context(), mn.Generation{Prompt: prompt(128, seed), MaxTokens: 1})
		require.NoError(t, err)
		return runSteps(e)
	}
	cold := c.Step + 128*c.Prefill
	require.Equal(t, cold, run("a"))
	require.Equal(t, c.Step+c.Prefill, run("a"), "all tokens but one are cached")
	require.Equal(t, cold, run("b"))
	require.Equal(t, cold, run("a"), "the second prompt evicted the first")
	events, err := e.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.Empty(t, events, "events are returned only after EventLag")
	clock.Advance(c.EventLag)
	events, err = e.CacheEvents(t.Context(), 4)
	require.NoError(t, err)
	require.Len(t, events, 6)
	require.True(t, events[0].Evicted)
}

func TestGenerateInRealTime(t *testing.T) {
	c := DefaultParams()
	c.Step, c.Decode, c.RoleChange = 1000, 100, 1
	e := New(mn.NewSystemClock(), c, "m", "1", "http://127.0.0.1:1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- e.Run(ctx) }()
	var text string
	err := e.Generate(ctx, mn.Generation{Prompt: "p", Prefix: Output("p", 3), MaxTokens: 8}, func(p mn.OutputChunk) error {
		text += p.Text
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, Output("p", 8), Output("p", 3)+text, "a resumed generation continues after its prefix")

	require.NoError(t, e.Order(ctx, mn.EngineOrder{Role: mn.EnginePrefill, Model: "m", Version: "1"}))
	require.Eventually(t, func() bool { s, _ := e.State(ctx); return !s.Changing && s.Role == mn.EnginePrefill }, 5e9, 1e6)
	var last mn.OutputChunk
	err = e.Generate(ctx, mn.Generation{ID: "r", Prompt: "p", PrefillOnly: true}, func(p mn.OutputChunk) error { last = p; return nil })
	require.NoError(t, err)
	require.Equal(t, "http://127.0.0.1:1/kv/r", last.CacheHandle)
	require.Error(t, e.Generate(ctx, mn.Generation{Prompt: "p", MaxTokens: 1}, nil), "a prefill engine does not decode")
	cancel()
	require.NoError(t, <-ended)
}
