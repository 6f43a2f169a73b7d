package procs_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/procs"
)

// binDir is the directory of the programs under test, built once by TestMain.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if err := procs.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Keys of the two customers in every cluster of newCluster.
const (
	voeringKey   = "key-of-voering-with-some-length"
	birligiKey   = "key-of-birligi-with-some-length"
	withdrawnKey = "key-that-was-withdrawn-earlier"
)

// newCluster starts a platform, entries and endpoints with their agents. It declares
// two customers with a key each, a withdrawn key, a model pool "taalpers" and a plain
// pool "orderbalie" whose calls are not idempotent. The cluster is closed when the
// test ends.
func newCluster(t testing.TB, entries, engines, plainServices int) *procs.Cluster {
	t.Helper()
	return newClusterWith(t, options{}, entries, engines, plainServices)
}

// clusterSlots limits how many clusters run at once.
var clusterSlots = make(chan struct{}, 3)

// options are the parameters of newClusterWith.
type options struct {
	// useLinks connects processes over links that can be partitioned.
	useLinks bool
	// extraEntrySettings is appended to the settings of entries.
	extraEntrySettings string
}

// newClusterWith is newCluster with options.
func newClusterWith(t testing.TB, o options, entries, engines, plainServices int) *procs.Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c, err := procs.New(binDir, t.TempDir())
	require.NoError(t, err)
	c.UseLinks = o.useLinks
	c.ExtraEntrySettings = o.extraEntrySettings
	t.Cleanup(func() {
		c.Close()
		if t.Failed() {
			for _, n := range c.Nodes {
				t.Logf("%s: %s", n.VM.ID, n.Proc.Tail(3000))
			}
		}
	})
	declare(t, c)
	dcs := []mn.DataCentre{"tiel-a", "tiel-b", "culemborg", "geldermalsen"}
	for i := range entries {
		_, err := c.AddEntry(fmt.Sprintf("entry-%d", i+1), dcs[i%len(dcs)])
		require.NoError(t, err)
	}
	for i := range engines {
		_, err := c.AddEngine(fmt.Sprintf("taalpers-%d", i+1), dcs[i%len(dcs)], "taalpers", "taalpers")
		require.NoError(t, err)
	}
	for i := range plainServices {
		_, err := c.AddPlainService(fmt.Sprintf("orderbalie-%d", i+1), dcs[i%len(dcs)], "orderbalie")
		require.NoError(t, err)
	}
	return c
}

// declare appends the resources that newCluster describes to the control stream.
func declare(t testing.TB, c *procs.Cluster) {
	t.Helper()
	_, err := c.Declare(t.Context(),
		mn.Resource{Customer: &mn.Customer{ID: "voering", Rate: 1000, Burst: 1000}},
		mn.Resource{Customer: &mn.Customer{ID: "birligi", Rate: 1000, Burst: 1000}},
		mn.Resource{Key: &mn.Key{Name: "voering-1", Hash: mn.HashKey(voeringKey), Customer: "voering"}},
		mn.Resource{Key: &mn.Key{Name: "birligi-1", Hash: mn.HashKey(birligiKey), Customer: "birligi"}},
		mn.Resource{Key: &mn.Key{Name: "old", Hash: mn.HashKey(withdrawnKey), Customer: "voering", Withdrawn: true}},
		mn.Resource{Model: &mn.Model{ID: "taalpers", Version: "1", MaxTokens: 4096}},
		mn.Resource{Pool: &mn.Pool{ID: "taalpers", Kind: mn.PoolModel, Model: "taalpers"}},
		mn.Resource{Pool: &mn.Pool{ID: "orderbalie", Kind: mn.PoolPlain}},
	)
	require.NoError(t, err)
}

// eventually retries f until it returns nil, and fails the test after timeout.
func eventually(t testing.TB, timeout mn.Millis, f func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout.Duration())
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			require.NoError(t, err, "after %d ms", timeout)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
