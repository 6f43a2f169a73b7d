package bench

import (
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/load"
)

const flooded = `
[load]
seed = 1
drain = 3s
[kind motif]
prompt_tokens = 1200
output_tokens = 40
deadline = 3s
[customer quiet]
rate = 2
burst = 8
[customer flood]
rate = 6
burst = 8
times = 5
[phase all]
span = 10s
mix = motif:1
`

// run starts one entry with two engines and sends the flooded workload.
func run(t *testing.T, c Config) (quiet, flood *load.Group) {
	t.Helper()
	s, err := load.Parse("flooded.ini", []byte(flooded))
	require.NoError(t, err)
	c.Size = Size{DataCentres: []mn.DataCentre{"a"}, Entries: 1, Model: "m", Engines: 2, Plain: "p", Plains: 1}
	c.Dir = t.TempDir()
	r, err := Run(t.Context(), c, s)
	require.NoError(t, err)
	return r.Customers[0], r.Customers[1]
}

// TestFloodLengthensOnlyItsOwnQueue has a customer send five times its rate to
// engines that can't serve that, through real processes.
func TestFloodLengthensOnlyItsOwnQueue(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "mustardnotch/cmd/...").CombinedOutput()
	require.NoError(t, err, "%s", out)

	quiet, flood := run(t, Config{Bin: bin, Router: "cost"})
	t.Logf("queued: quiet %d of %d in time, flood %d of %d, codes %v", quiet.InTime, quiet.Sent, flood.InTime, flood.Sent, flood.Codes)
	require.GreaterOrEqual(t, float64(quiet.InTime), 0.6*float64(quiet.Sent))
	require.Less(t, float64(flood.InTime), 0.4*float64(flood.Sent))
	require.Positive(t, flood.Codes[mn.DeadlineTooShort.String()], "work that can't be in time is refused early")
}
