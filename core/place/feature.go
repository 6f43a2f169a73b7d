package place

import (
	"fmt"
	"slices"
	"strings"
)

// Feature names a part of the placement of requests that can be switched off to
// measure its effect.
type Feature string

// Features that can be switched off.
const (
	// CacheAffinity sends long prompts that share a segment to few engines; without
	// it, any engine may get them.
	CacheAffinity Feature = "homes"
	// SeparatePrefill prefills long prompts at prefill engines.
	SeparatePrefill Feature = "apart"
	// CacheFetch fetches shared segments from an engine that has them cached.
	CacheFetch Feature = "fetching"
	// Queueing lets a request wait for room; without it, the request is rejected
	// at once.
	Queueing Feature = "waiting"
	// LateSends sends requests that miss the deadline of their first event but can
	// still finish in time.
	LateSends Feature = "late"
	// EngineRanks gives requests ranks in the engines' queues.
	EngineRanks Feature = "ranks"
	// UrgentUpdates sends the state to peer fronts at once when a long prompt
	// starts or ends its prefill.
	UrgentUpdates Feature = "news"
	// PeerLoad counts the load of peer fronts.
	PeerLoad Feature = "others"
	// LearnedSpeeds learns how long engines take.
	LearnedSpeeds Feature = "speeds"
	// Paces counts what endpoints say of their present speed.
	Paces Feature = "paces"
	// SharedSpeeds estimates the speeds of prefill engines from what all fronts observe.
	SharedSpeeds Feature = "shared_speeds"
)

// Features lists all features.
var Features = []Feature{CacheAffinity, SeparatePrefill, CacheFetch, Queueing, LateSends, EngineRanks, UrgentUpdates, PeerLoad, LearnedSpeeds, Paces, SharedSpeeds}

// ParseFeatures parses a comma-separated list of features.
func ParseFeatures(text string) ([]Feature, error) {
	var out []Feature
	for part := range strings.SplitSeq(text, ",") {
		f := Feature(strings.TrimSpace(part))
		if f == "" {
			continue
		}
		if !slices.Contains(Features, f) {
			return nil, fmt.Errorf("unknown placement feature %q, want one of %v", f, Features)
		}
		out = append(out, f)
	}
	return out, nil
}

// disabled reports whether a feature is switched off.
func (b *Balancer) disabled(f Feature) bool { return b.disabledFeatures[f] }
