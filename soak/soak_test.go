package soak

import (
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/procs"
)

// seeds are those that CI plays: the first, and each that ever broke a promise,
// with its cause.
var seeds = []int64{
	1,
}

func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, procs.Build(bin))
	for _, seed := range seeds {
		dir := t.TempDir()
		var out testWriter = func(line string) { t.Log(line) }
		broken, err := Run(t.Context(), Options{Bin: bin, Dir: dir, Seed: seed, Fronts: 3, Callers: 12, FaultDuration: 8 * mn.Second}, out)
		require.NoError(t, err, "seed %d", seed)
		require.Empty(t, broken, "seed %d", seed)
	}
}

// testWriter writes to a test's log.
type testWriter func(string)

func (w testWriter) Write(p []byte) (int, error) {
	w(string(p))
	return len(p), nil
}
