package place

import (
	"math"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

const (
	// minAffinityEngines is the minimum number of engines of a role that are assigned to
	// a shared segment: one can be passed by when the other is busy or gone.
	minAffinityEngines = 2
	// affinitySpread is how many times as many engines a segment gets as its share of
	// the prefill work needs, so that chance differences between engines even out.
	affinitySpread = 2.0
	// maxCandidates bounds the engines of a role for which plans are estimated.
	maxCandidates = 4
	// useMemory is the time constant, in milliseconds, with which the use of segments
	// is forgotten.
	useMemory = 10_000.0
	// maxUsedSegments bounds the segments whose use is measured.
	maxUsedSegments = 4096
)

// segmentUse measures which share of the prefill work the prompts with a segment
// cause. Each front measures its own callers, which are a sample of all.
type segmentUse struct {
	lru   *simplelru.LRU[string, decayed]
	total decayed
}

// decayed is a sum that decays exponentially.
type decayed struct {
	value float64
	at    mn.Millis
}

func (d decayed) now(now mn.Millis) float64 {
	return d.value * math.Exp(-float64(now-d.at)/useMemory)
}

func (d decayed) add(value float64, now mn.Millis) decayed {
	return decayed{d.now(now) + value, now}
}

func newSegmentUse() segmentUse {
	lru, err := simplelru.NewLRU[string, decayed](maxUsedSegments, nil)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return segmentUse{lru: lru}
}

// add counts the work of a prompt for each segment that it may share with others.
func (u *segmentUse) add(info *mn.PromptInfo, work float64, now mn.Millis) {
	u.total = u.total.add(work, now)
	for _, s := range sharedSegments(info) {
		d, _ := u.lru.Get(s.ID)
		u.lru.Add(s.ID, d.add(work, now))
	}
}

// share returns the share of a segment in the work of all prompts.
func (u *segmentUse) share(id string, now mn.Millis) float64 {
	d, ok := u.lru.Peek(id)
	total := u.total.now(now)
	if !ok || total <= 0 {
		return 0
	}
	return min(1, d.now(now)/total)
}

// sharedSegments returns the segments that the prompt may share with others: all but
// the last.
func sharedSegments(info *mn.PromptInfo) []mn.PromptSegment {
	return info.Segments[:max(0, len(info.Segments)-1)]
}

// affinityEngines returns the engines that should prefill or fetch the prompt, so that
// few engines prefill each shared segment. Load pattern: prompts begin with a segment
// that all share, go on with one of some hundred that few share, and some of those are
// much in demand for a while.
//
// Each shared segment that is worth it selects among the engines of those in front of
// it, by rendezvous hashing, so that all fronts choose alike. It selects as many as its
// share of the work needs: all for a segment of all prompts.
func (e *enginePool) affinityEngines(info *mn.PromptInfo, engines []*endpointState, now mn.Millis) []*endpointState {
	chosen := engines
	for _, s := range sharedSegments(info) {
		if e.savedWork(s.Tokens) < minSavedWork {
			continue
		}
		needed := int(math.Ceil(affinitySpread * e.use.share(s.ID, now) * float64(len(engines))))
		if n := max(minAffinityEngines, needed); n < len(chosen) {
			chosen = rendez.TopBy(s.ID, chosen, n, func(s *endpointState) mn.EndpointID { return s.ID })
		}
	}
	return chosen
}

// cheapest returns up to maxCandidates engines, those with the lowest cost.
func (e *enginePool) cheapest(engines []*endpointState, cost func(*endpointState) float64) []*endpointState {
	if len(engines) <= maxCandidates {
		return engines
	}
	type candidate struct {
		*endpointState
		cost float64
	}
	all := make([]candidate, 0, len(engines))
	for _, s := range engines {
		all = append(all, candidate{s, cost(s)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	out := make([]*endpointState, maxCandidates)
	for i := range out {
		out[i] = all[i].endpointState
	}
	return out
}
