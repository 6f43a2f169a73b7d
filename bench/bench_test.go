package bench

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/fakes/batch"
	"mustardnotch/gen/apipb"
	"mustardnotch/load"
	"mustardnotch/procs"
)

const floodWorkload = `
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
[phase cold]
span = 10s
mix = motif:1
[phase warm]
span = 10s
mix = motif:1
`

// runFlood starts one entry with two engines, sends the flood workload, and returns
// the customers' results in the warm phase, when engine speeds are known.
func runFlood(t *testing.T, c Config) (quiet, flood *load.Group) {
	t.Helper()
	workload, err := load.Parse("flooded.ini", []byte(floodWorkload))
	require.NoError(t, err)
	c.Deployment = Deployment{DataCentres: []mn.DataCentre{"a"}, Entries: 1, ModelPool: "m", Engines: 2, PlainPool: "p", PlainServices: 1}
	c.Dir = t.TempDir()
	r, err := Run(t.Context(), c, workload)
	require.NoError(t, err)
	return r.CustomerPhases[2], r.CustomerPhases[3]
}

func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	require.NoError(t, procs.Build(bin))
	return bin
}

// TestFloodLengthensOnlyItsOwnQueue has one customer send five times its rate, more
// than the engines can serve. Guards against its backlog delaying the requests of
// the other customer.
func TestFloodLengthensOnlyItsOwnQueue(t *testing.T) {
	quiet, flood := runFlood(t, Config{Bin: buildPrograms(t), Router: "cost"})
	t.Logf("quiet %d of %d in time, flood %d of %d in time, codes of flood %v", quiet.InTime, quiet.Sent, flood.InTime, flood.Sent, flood.Codes)
	require.GreaterOrEqual(t, float64(quiet.InTime), 0.75*float64(quiet.Sent))
	require.Less(t, float64(flood.InTime), 0.4*float64(flood.Sent))
	require.Positive(t, flood.Codes[mn.DeadlineTooShort.String()], "requests that can't meet their deadline are rejected early")
}

// TestPrefillIsHandedOver checks that the decode engine imports a prompt that the
// prefill engine computed instead of computing it itself, and that it serves alone
// after the prefill engine has been killed.
func TestPrefillIsHandedOver(t *testing.T) {
	workload, err := load.Parse("flooded.ini", []byte(floodWorkload))
	require.NoError(t, err)
	c := Config{Bin: buildPrograms(t), Dir: t.TempDir(), Deployment: smallDeployment(2), Router: "round_robin", PrefillEngines: 1}
	require.NoError(t, inCluster(t.Context(), c, workload, func(cluster *procs.Cluster) error {
		prompt := strings.Repeat("pattern ledger ", 200)
		generate := func() string {
			var text string
			err := cluster.CallerClient(cluster.Nodes["entry-1"], workload.Customers[0].Key).Generate(t.Context(),
				&apipb.GenerateRequest{Model: string(workload.Model), Prompt: prompt, MaxTokens: 20},
				func(k *apipb.GenerateChunk) error { text += k.Text; return nil })
			require.NoError(t, err)
			return text
		}
		require.Equal(t, batch.Output(prompt, 20), generate())
		var decoder load.EngineCounters
		require.NoError(t, procs.FetchJSON(cluster.Nodes["m-2"].EndpointURL()+"/admin/counters", &decoder))
		require.EqualValues(t, 1, decoder.Imports)
		require.Zero(t, decoder.PrefillTokens)

		cluster.Nodes["m-1"].Endpoint.Kill()
		require.Equal(t, batch.Output(prompt, 20), generate())
		return nil
	}))
}
