// Package slide sums amounts over a sliding time window.
package slide

import mn "mustardnotch"

// Sum is a sum over a sliding window, which is divided into buckets in a ring buffer.
type Sum struct {
	buckets      []float64
	bucketLength mn.Millis
	// current is the number of the current bucket, counted from the clock's zero.
	current int64
}

// New returns an empty sum over a number of buckets of the given length that ends at
// now. The length is at least a millisecond.
func New(buckets int, length, now mn.Millis) *Sum {
	s := &Sum{buckets: make([]float64, buckets), bucketLength: max(1, length)}
	s.current = int64(now / s.bucketLength)
	return s
}

// Advance drops the buckets that have left the window by now.
func (s *Sum) Advance(now mn.Millis) {
	last, count := int64(now/s.bucketLength), int64(len(s.buckets))
	for s.current = max(s.current, last-count); s.current < last; {
		s.current++
		s.buckets[s.current%count] = 0
	}
}

// Add adds an amount to the current bucket.
func (s *Sum) Add(amount float64) { s.buckets[s.current%int64(len(s.buckets))] += amount }

// AddSince adds an amount evenly to the time from from until the sum was last advanced. The
// part of that time which has left the window is dropped with its share of the amount.
func (s *Sum) AddSince(from mn.Millis, amount float64) {
	first := min(int64(from/s.bucketLength), s.current)
	share := amount / float64(s.current-first+1)
	count := int64(len(s.buckets))
	for b := max(first, s.current-count+1); b <= s.current; b++ {
		s.buckets[(b%count+count)%count] += share
	}
}

// Total returns the sum over all buckets.
func (s *Sum) Total() (total float64) {
	for _, n := range s.buckets {
		total += n
	}
	return total
}

// BucketLength returns the duration of a bucket.
func (s *Sum) BucketLength() mn.Millis { return s.bucketLength }
