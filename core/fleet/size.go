package fleet

import (
	"cmp"
	"math"
	"slices"

	mn "mustardnotch"
)

// SizeSettings are the parameters of a pool's size.
type SizeSettings struct {
	// Utilisation is the share of an engine's capacity to plan with.
	Utilisation float64
	// Quiet is for how long fewer endpoints have to suffice before a pool
	// shrinks.
	Quiet mn.Millis
}

// DefaultSizeSettings returns the settings of a production system.
func DefaultSizeSettings() SizeSettings {
	return SizeSettings{Utilisation: 0.75, Quiet: 3 * mn.Minute}
}

// Sizer decides on the size of one pool. It grows at once and shrinks to the
// largest size that was needed during the quiet time, so that it does not
// follow noise or short dips.
type Sizer struct {
	settings SizeSettings
	begun    mn.Millis
	first    bool
	// needs has the sizes needed, newest last, each larger than those after it.
	needs []need
}

type need struct {
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
		s.begun = now
	}
	size := max(int64(math.Ceil(load/s.settings.Utilisation)), low)
	if high > 0 {
		size = min(size, high)
	}
	for len(s.needs) > 0 && s.needs[len(s.needs)-1].size <= size {
		s.needs = s.needs[:len(s.needs)-1]
	}
	s.needs = append(s.needs, need{now, size})
	for now-s.needs[0].at > s.settings.Quiet {
		s.needs = s.needs[1:]
	}
	if size >= current {
		return size
	}
	if now-s.begun < s.settings.Quiet {
		return max(current, low)
	}
	return min(current, s.needs[0].size)
}

// Divide divides total endpoints among data centres in proportion to demand,
// by largest remainder. Where remainders are equal, a data centre that has
// more endpoints now goes first, so that as few as possible move.
func Divide(total int64, demand map[mn.DataCentre]float64, current map[mn.DataCentre]int64) map[mn.DataCentre]int64 {
	type part struct {
		dc   mn.DataCentre
		size int64
		rest float64
	}
	var sum float64
	for _, d := range demand {
		sum += d
	}
	var parts []part
	left := total
	for dc, d := range demand {
		exact := float64(total) / float64(len(demand))
		if sum > 0 {
			exact = float64(total) * d / sum
		}
		size := int64(exact)
		left -= size
		parts = append(parts, part{dc, size, exact - float64(size)})
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.rest, a.rest), cmp.Compare(current[b.dc], current[a.dc]), cmp.Compare(a.dc, b.dc))
	})
	sizes := map[mn.DataCentre]int64{}
	for i, p := range parts {
		if int64(i) < left {
			p.size++
		}
		sizes[p.dc] = p.size
	}
	return sizes
}
