package slide

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

// The sum is that of the last parts, whatever the gaps between counts.
func TestTotalSumsTheLastBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 12).Draw(t, "parts")
		length := mn.Millis(rapid.IntRange(1, 300).Draw(t, "length"))
		now := mn.Millis(rapid.IntRange(0, 10_000).Draw(t, "start"))
		s := New(parts, length, now)
		byPart := map[int64]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += mn.Millis(rapid.IntRange(0, 2000).Draw(t, "gap"))
			s.Advance(now)
			amount := float64(rapid.IntRange(-3, 9).Draw(t, "amount"))
			s.Add(amount)
			byPart[int64(now/length)] += amount
			want := 0.0
			for p, n := range byPart {
				if p > int64(now/length)-int64(parts) {
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
