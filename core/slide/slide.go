// Package slide sums up what was counted in a sliding window of time.
package slide

import mn "mustardnotch"

// Sum counts by parts of a span of time, and forgets them one by one.
type Sum struct {
	counts []float64
	length mn.Millis
	// part is the number of the part that counts now, from the clock's zero.
	part int64
}

// New returns a sum over as many parts of the given length, up to now.
func New(parts int, length, now mn.Millis) *Sum {
	s := &Sum{counts: make([]float64, parts), length: max(1, length)}
	s.part = int64(now / s.length)
	return s
}

// Advance forgets the parts that are over by now.
func (s *Sum) Advance(now mn.Millis) {
	last, parts := int64(now/s.length), int64(len(s.counts))
	for s.part = max(s.part, last-parts); s.part < last; {
		s.part++
		s.counts[s.part%parts] = 0
	}
}

// Add counts an amount in the present part.
func (s *Sum) Add(amount float64) { s.counts[s.part%int64(len(s.counts))] += amount }

// Total returns what was counted in all parts.
func (s *Sum) Total() (total float64) {
	for _, n := range s.counts {
		total += n
	}
	return total
}

// BucketLength returns the length of a part.
func (s *Sum) BucketLength() mn.Millis { return s.length }
