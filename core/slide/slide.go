// Package slide sums up what was counted in a sliding window of time.
package slide

import mn "mustardnotch"

// Sum counts by parts of a span of time, and forgets them one by one.
type Sum struct {
	buckets      []float64
	bucketLength mn.Millis
	// current is the number of the part that counts now, from the clock's zero.
	current int64
}

// New returns a sum over as many parts of the given length, up to now.
func New(parts int, length, now mn.Millis) *Sum {
	s := &Sum{buckets: make([]float64, parts), bucketLength: max(1, length)}
	s.current = int64(now / s.bucketLength)
	return s
}

// Advance forgets the parts that are over by now.
func (s *Sum) Advance(now mn.Millis) {
	last, parts := int64(now/s.bucketLength), int64(len(s.buckets))
	for s.current = max(s.current, last-parts); s.current < last; {
		s.current++
		s.buckets[s.current%parts] = 0
	}
}

// Add counts an amount in the present part.
func (s *Sum) Add(amount float64) { s.buckets[s.current%int64(len(s.buckets))] += amount }

// Total returns what was counted in all parts.
func (s *Sum) Total() (total float64) {
	for _, n := range s.buckets {
		total += n
	}
	return total
}

// BucketLength returns the length of a part.
func (s *Sum) BucketLength() mn.Millis { return s.bucketLength }
