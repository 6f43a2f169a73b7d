package place

import (
	"fmt"
	"slices"
	"strings"
)

// Feature names a part of how requests are placed that can be switched off, to
// measure what it is worth.
type Feature string

// Decisions.
const (
	// CacheAffinity reads a shared part at few engines; without it, at any.
	CacheAffinity Feature = "homes"
	// SeparatePrefill reads long prompts at engines that only read.
	SeparatePrefill Feature = "apart"
	// CacheFetch gets shared parts from an engine that keeps them.
	CacheFetch Feature = "fetching"
	// Queueing lets a request wait for a place; without it, it is refused at once.
	Queueing Feature = "waiting"
	// LateSends sends requests that can still end in time after their goal.
	LateSends Feature = "late"
	// EngineRanks gives requests ranks at engines.
	EngineRanks Feature = "ranks"
	// UrgentUpdates tells other fronts of long prompts at once.
	UrgentUpdates Feature = "news"
	// PeerLoad counts other fronts' work.
	PeerLoad Feature = "others"
	// LearnedSpeeds learns how fast engines read.
	LearnedSpeeds Feature = "speeds"
)

// Features lists all decisions.
var Features = []Feature{CacheAffinity, SeparatePrefill, CacheFetch, Queueing, LateSends, EngineRanks, UrgentUpdates, PeerLoad, LearnedSpeeds}

// ParseFeatures reads decisions with commas between them.
func ParseFeatures(text string) ([]Feature, error) {
	var out []Feature
	for part := range strings.SplitSeq(text, ",") {
		d := Feature(strings.TrimSpace(part))
		if d == "" {
			continue
		}
		if !slices.Contains(Features, d) {
			return nil, fmt.Errorf("%q is no decision, want one of %v", d, Features)
		}
		out = append(out, d)
	}
	return out, nil
}

// disabled says whether a decision is switched off.
func (b *Balancer) disabled(d Feature) bool { return b.disabledFeatures[d] }
