package matrix

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardnotch/procs"
)

// fixedCells are the cells that CI runs. The command "fakes matrix" runs all cells.
var fixedCells = []string{
	"generation_middle+agent_killed",
	"generation_middle+endpoint_killed",
	"generation_middle+key_withdrawn",
	"generation_middle+entry_leaves",
	"generation_last+agent_leaves",
	"booking_during+entry_killed",
	"booking_during+agent_killed",
	"booking_after+log_down",
	"change+append_lost",
	"order+holder_paused",
	"report+usage_lost",
}

// parallelCells is the number of cells that run at the same time.
const parallelCells = 3

// TestFixedCellsHold checks that no rule is violated in any of the fixed cells.
func TestFixedCellsHold(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, procs.Build(bin))
	var cells []Cell
	for _, n := range fixedCells {
		c, err := Find(n, 1)
		require.NoError(t, err)
		cells = append(cells, c)
	}
	violating, err := Run(t.Context(), bin, cells, parallelCells, os.Stdout)
	require.NoError(t, err)
	for _, r := range violating {
		t.Error(r)
	}
}
