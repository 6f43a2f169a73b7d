package slide

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

// Total must equal the sum over the last buckets for any gaps between additions.
func TestTotalSumsTheLastBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buckets := rapid.IntRange(1, 12).Draw(t, "buckets")
		length := mn.Millis(rapid.IntRange(1, 300).Draw(t, "length"))
		now := mn.Millis(rapid.IntRange(0, 10_000).Draw(t, "start"))
		s := New(buckets, length, now)
		byBucket := map[int64]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += mn.Millis(rapid.IntRange(0, 2000).Draw(t, "gap"))
			s.Advance(now)
			amount := float64(rapid.IntRange(-3, 9).Draw(t, "amount"))
			s.Add(amount)
			byBucket[int64(now/length)] += amount
			want := 0.0
			for b, n := range byBucket {
				if b > int64(now/length)-int64(buckets) {
					want += n
				}
			}
			require.Equal(t, want, s.Total())
		}
	})
}

func TestBucketLengthIsAtLeastAMillisecond(t *testing.T) {
	require.Equal(t, mn.Millis(1), New(3, 0, 5).BucketLength())
}

func TestAddSince(t *testing.T) {
	s := New(4, 100, 1000)
	s.AddSince(1000, 12)
	require.Equal(t, 12.0, s.Total())
	s.Advance(1250)
	s.AddSince(1050, 30) // 10 in each bucket from 1,000 on
	require.Equal(t, 42.0, s.Total())
	s.Advance(1450)
	require.Equal(t, 20.0, s.Total(), "the buckets from 1,100 on are left")
	s.AddSince(950, 60) // 10 in each from 900 on, of which four are in the window
	require.Equal(t, 60.0, s.Total())
	s.AddSince(5000, 1)
	require.Equal(t, 61.0, s.Total(), "a time that has not come counts as now")
}
