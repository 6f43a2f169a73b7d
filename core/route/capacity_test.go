package route

import (
	"fmt"
	"strings"
	"testing"

	mn "mustardnotch"
)

// BenchmarkRoute measures one choice by the number of agents that are compared
// and the length of the prompt, with 3 and 370 entries.
func BenchmarkRoute(b *testing.B) {
	for _, entries := range []int{3, 370} {
		for _, agents := range []int{9, 46, 600} {
			for _, bytes := range []int{100, 12_000} {
				b.Run(fmt.Sprintf("entries=%d/agents=%d/prompt=%d", entries, agents, bytes), func(b *testing.B) {
					t := New(mn.NewManualClock(1), roster(entries, agents), DefaultSettings("a"))
					t.Feeds("entry-0")
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
