package fleet

import (
	"maps"
	"math"
	"slices"

	mn "mustardnotch"
)

// SizeSettings are the parameters of a Sizer.
type SizeSettings struct {
	// TargetUtilisation is the share of an endpoint's capacity that the load should
	// use. The size of a pool is computed from it.
	TargetUtilisation float64
	// StabilisationWindow is how long fewer endpoints must have been sufficient
	// before a pool shrinks.
	StabilisationWindow mn.Millis
}

// DefaultSizeSettings returns the settings for production.
func DefaultSizeSettings() SizeSettings {
	return SizeSettings{TargetUtilisation: 0.75, StabilisationWindow: 3 * mn.Minute}
}

// Sizer decides on the size of one pool. The pool grows immediately and shrinks to
// the largest size that was required within the stabilisation window, so that its
// size doesn't follow noise or short dips of the load.
type Sizer struct {
	settings  SizeSettings
	startedAt mn.Millis
	first     bool
	// history holds the required sizes within the stabilisation window, newest
	// last, without those followed by one at least as large.
	history []requiredSize
}

type requiredSize struct {
	at   mn.Millis
	size int64
}

// NewSizer returns a sizer without history.
func NewSizer(settings SizeSettings) *Sizer {
	return &Sizer{settings: settings, first: true}
}

// Target returns the number of endpoints that the pool should have at the given
// load, which is in endpoints. The size is at least low and, if high is above 0, at
// most high. Until the first stabilisation window has passed, the pool doesn't
// shrink unless high requires it.
func (s *Sizer) Target(now mn.Millis, load float64, current, low, high int64) int64 {
	if s.first {
		s.first = false
		s.startedAt = now
	}
	size := max(int64(math.Ceil(load/s.settings.TargetUtilisation)), low)
	if high > 0 {
		size = min(size, high)
	}
	for len(s.history) > 0 && s.history[len(s.history)-1].size <= size {
		s.history = s.history[:len(s.history)-1]
	}
	s.history = append(s.history, requiredSize{now, size})
	for now-s.history[0].at > s.settings.StabilisationWindow {
		s.history = s.history[1:]
	}
	target := max(size, min(current, s.history[0].size))
	if now-s.startedAt < s.settings.StabilisationWindow {
		target = max(size, current)
	}
	if high > 0 {
		target = min(target, high)
	}
	return target
}

// Spread returns sizes by data centre that add up to total. It starts from the
// current sizes and adds endpoints where the demand per endpoint is highest, or
// removes them where it is lowest, by the highest averages method. It moves no
// endpoints between data centres unless the total changes.
func Spread(total int64, demand map[mn.DataCentre]float64, current map[mn.DataCentre]int64) map[mn.DataCentre]int64 {
	sizes := map[mn.DataCentre]int64{}
	var sum int64
	var all float64
	for dc, d := range demand {
		sizes[dc] = current[dc]
		sum += current[dc]
		all += d
	}
	if len(sizes) == 0 {
		return sizes
	}
	// Every data centre is assumed to have some base demand, so that a single
	// measurement without demand doesn't leave one without endpoints.
	baseDemand := max(all, 1) / float64(len(sizes)) / 4
	for ; sum < total; sum++ {
		sizes[highestScore(sizes, func(dc mn.DataCentre) float64 { return (demand[dc] + baseDemand) / float64(sizes[dc]+1) })]++
	}
	for ; sum > total; sum-- {
		sizes[highestScore(sizes, func(dc mn.DataCentre) float64 {
			if sizes[dc] <= 1 { // The last endpoint of a data centre is removed only after all others.
				return -math.MaxFloat64 * float64(2-sizes[dc]) / 2
			}
			return -(demand[dc] + baseDemand) / float64(sizes[dc])
		})]--
	}
	return sizes
}

// highestScore returns the data centre with the highest score. Among equal scores,
// it returns the first by name.
func highestScore(sizes map[mn.DataCentre]int64, score func(mn.DataCentre) float64) mn.DataCentre {
	dcs := slices.Sorted(maps.Keys(sizes))
	best := dcs[0]
	for _, dc := range dcs[1:] {
		if score(dc) > score(best) {
			best = dc
		}
	}
	return best
}
