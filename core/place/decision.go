package place

import (
	"fmt"
	"slices"
	"strings"
)

// Decision names a part of how requests are placed that can be switched off, to
// measure what it is worth.
type Decision string

// Decisions.
const (
	// Homes reads a shared part at few engines; without it, at any.
	Homes Decision = "homes"
	// Apart reads long prompts at engines that only read.
	Apart Decision = "apart"
	// Fetching gets shared parts from an engine that keeps them.
	Fetching Decision = "fetching"
	// Waiting lets a request wait for a place; without it, it is refused at once.
	Waiting Decision = "waiting"
	// Late sends requests that can still end in time after their goal.
	Late Decision = "late"
	// Ranks gives requests ranks at engines.
	Ranks Decision = "ranks"
	// News tells other fronts of long prompts at once.
	News Decision = "news"
	// Others counts other fronts' work.
	Others Decision = "others"
	// Speeds learns how fast engines read.
	Speeds Decision = "speeds"
)

// Decisions lists all decisions.
var Decisions = []Decision{Homes, Apart, Fetching, Waiting, Late, Ranks, News, Others, Speeds}

// ParseDecisions reads decisions with commas between them.
func ParseDecisions(text string) ([]Decision, error) {
	var out []Decision
	for part := range strings.SplitSeq(text, ",") {
		d := Decision(strings.TrimSpace(part))
		if d == "" {
			continue
		}
		if !slices.Contains(Decisions, d) {
			return nil, fmt.Errorf("%q is no decision, want one of %v", d, Decisions)
		}
		out = append(out, d)
	}
	return out, nil
}

// without says whether a decision is switched off.
func (b *Board) without(d Decision) bool { return b.off[d] }
