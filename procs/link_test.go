package procs_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/procs"
)

// TestIsolateAndRejoin checks the harness itself: requests that need an isolated
// agent fail, and succeed again after it has rejoined.
func TestIsolateAndRejoin(t *testing.T) {
	t.Parallel()
	c, err := procs.New(binDir, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	c.UseLinks = true
	declare(t, c)
	entry, err := c.AddEntry("entry-1", "tiel-a")
	require.NoError(t, err)
	engine, err := c.AddEngine("taalpers-1", "tiel-a", "taalpers", "taalpers")
	require.NoError(t, err)
	client := c.CallerClient(entry, voeringKey)
	eventually(t, 6*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, client, "warm", 1)
		return err
	})

	c.Isolate(engine)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	_, _, err = generate(ctx, client, "isolated", 1)
	require.Error(t, err)

	c.Rejoin(engine)
	eventually(t, 10*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, client, "again", 1)
		return err
	})
}
