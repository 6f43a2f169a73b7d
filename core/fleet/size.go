package fleet

import (
	"maps"
	"math"
	"slices"

	mn "mustardnotch"
)

// SizeSettings are the parameters of a pool's size.
type SizeSettings struct {
	// TargetUtilisation is the share of an engine's capacity to plan with.
	TargetUtilisation float64
	// StabilisationWindow is for how long fewer endpoints have to suffice before a pool
	// shrinks.
	StabilisationWindow mn.Millis
}

// DefaultSizeSettings returns the settings of a production system.
func DefaultSizeSettings() SizeSettings {
	return SizeSettings{TargetUtilisation: 0.75, StabilisationWindow: 3 * mn.Minute}
}

// Sizer decides on the size of one pool. It grows at once and shrinks to the
// largest size that was needed during the quiet time, so that it does not
// follow noise or short dips.
type Sizer struct {
	settings  SizeSettings
	startedAt mn.Millis
	first     bool
	// history has the sizes needed, newest last, each larger than those after it.
	history []requiredSize
}

type requiredSize struct {
	at   mn.Millis
	size int64
}

// NewSizer returns a sizer without a history.
func NewSizer(settings SizeSettings) *Sizer {
	return &Sizer{settings: settings, first: true}
}

// Target returns how many endpoints the pool should have. The load is in
// endpoints; low and high bound the size, high only if it is above 0.
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
// present sizes: endpoints are added where demand is highest for the size, and
// taken away where it is lowest, by highest averages. No endpoint moves from
// one data centre to another unless the total changes.
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
	// Where there is no demand yet, some is assumed, so that no data centre
	// is left without endpoints by one look at the load.
	baseDemand := max(all, 1) / float64(len(sizes)) / 4
	for ; sum < total; sum++ {
		sizes[highestScore(sizes, func(dc mn.DataCentre) float64 { return (demand[dc] + baseDemand) / float64(sizes[dc]+1) })]++
	}
	for ; sum > total; sum-- {
		sizes[highestScore(sizes, func(dc mn.DataCentre) float64 {
			if sizes[dc] <= 1 { // A data centre's last endpoint goes last.
				return -math.MaxFloat64 * float64(2-sizes[dc]) / 2
			}
			return -(demand[dc] + baseDemand) / float64(sizes[dc])
		})]--
	}
	return sizes
}

// highestScore returns the data centre with the highest score, the first by name
// where scores are equal.
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
