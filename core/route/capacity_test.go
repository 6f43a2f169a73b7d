package route

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	mn "mustardnotch"
)

// BenchmarkRoute measures one call of Route by the number of entries, the number
// of agents and the length of the prompt.
func BenchmarkRoute(b *testing.B) {
	for _, entries := range []int{3, 370} {
		for _, agents := range []int{9, 46, 600} {
			for _, bytes := range []int{100, 12_000} {
				b.Run(fmt.Sprintf("entries=%d/agents=%d/prompt=%d", entries, agents, bytes), func(b *testing.B) {
					t := New(mn.NewManualClock(1), roster(entries, agents), DefaultSettings("a"))
					t.ReportSources("entry-0")
					w := mn.Work{Pool: "p", Prompt: strings.Repeat("x", bytes), MaxTokens: 100}
					b.ReportAllocs()
					for b.Loop() {
						_, done, err := t.Route(b.Context(), w)
						if err != nil {
							b.Fatal(err)
						}
						done(nil)
					}
				})
			}
		}
	}
}

// BenchmarkIndex measures the memory of a full prefix index, and the time to add
// a block to it, by the number of blocks.
func BenchmarkIndex(b *testing.B) {
	for _, blocks := range []int{1 << 12, 1 << 14, 1 << 16} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			x := newIndex(blocks)
			for i := range blocks {
				for h := range maxLocationsPerBlock {
					x.add(Block(i*7919), location{vm: mn.VMID(fmt.Sprintf("agent-%d", h))})
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			i := 0
			for b.Loop() {
				i++
				x.add(Block(i*7919), location{vm: "agent-9"})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(blocks), "heap_bytes/block")
			runtime.KeepAlive(x)
		})
	}
}

// BenchmarkReport measures one call of ApplyReport by the number of agents and
// the number of cache events.
func BenchmarkReport(b *testing.B) {
	for _, agents := range []int{9, 48, 600} {
		for _, events := range []int{0, 32} {
			b.Run(fmt.Sprintf("agents=%d/events=%d", agents, events), func(b *testing.B) {
				t := New(mn.NewManualClock(1), roster(3, agents), DefaultSettings("a"))
				e := make([]CacheEvent, events)
				i := 0
				for b.Loop() {
					for j := range e {
						i++
						e[j].Block = Block(i)
					}
					t.ApplyReport("agent-00", LoadReport{Running: 3}, e, false)
				}
			})
		}
	}
}
