package matrix

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFindReturnsUniqueCellByName(t *testing.T) {
	seen := map[string]bool{}
	for _, c := range append(Singles(7), Pairs(7, 50)...) {
		found, err := Find(c.Name(), c.Seed)
		require.NoError(t, err)
		require.Equal(t, c.Name(), found.Name())
		if len(c.Faults) == 1 {
			require.False(t, seen[c.Name()], c.Name())
			seen[c.Name()] = true
		}
	}
	require.Len(t, seen, len(Steps())*len(Faults()))
	_, err := Find("booking_during+nothing", 1)
	require.Error(t, err)
}

func TestPairsDependOnlyOnSeed(t *testing.T) {
	a, b := Pairs(3, 20), Pairs(3, 20)
	for i := range a {
		require.Equal(t, a[i].Name(), b[i].Name())
		require.Equal(t, a[i].Seed, b[i].Seed)
		require.NotEqual(t, a[i].Faults[0].Name, a[i].Faults[1].Name)
	}
}
