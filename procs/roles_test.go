package procs_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/fakes/batch"
	"mustardnotch/procs"
)

// TestRolesByDemand starts engines with roles that don't fit the load. With roles by
// demand, at least one engine must change its role, none may change more than once,
// and no request may fail.
func TestRolesByDemand(t *testing.T) {
	t.Parallel()
	c, err := procs.New(binDir, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	c.MaxRunning = 16
	declare(t, c)
	c.ExtraSettings = "[control]\nroles = demand\n"
	entry, err := c.AddEntry("entry-1", "tiel-a")
	require.NoError(t, err)
	c.ExtraSettings = ""
	for i, role := range []mn.EngineRole{mn.EnginePrefill, mn.EngineDecode, mn.EngineDecode, mn.EngineDecode} {
		c.EngineArgs = []string{"batch", "--role", string(role)}
		_, err := c.AddEngine(fmt.Sprint("taalpers-", i+1), "tiel-a", "taalpers", "taalpers")
		require.NoError(t, err)
	}
	client := c.CallerClient(entry, voeringKey)
	end := time.Now().Add(22 * time.Second)
	results := make(chan error)
	const callers = 48
	for i := range callers {
		go func() {
			var err error
			for j := 0; time.Now().Before(end) && err == nil; j++ {
				prompt := strings.Repeat(fmt.Sprintf("ledger %d %d. ", i, j), 400)
				_, _, err = generate(t.Context(), client, prompt, 30)
			}
			results <- err
		}()
	}
	for range callers {
		require.NoError(t, <-results)
	}
	total := int64(0)
	for _, n := range c.Nodes {
		if n.Endpoint == nil {
			continue
		}
		var k batch.Counters
		var s mn.EngineState
		require.NoError(t, procs.FetchJSON(n.EndpointURL()+"/admin/counters", &k))
		require.NoError(t, procs.FetchJSON(n.EndpointURL()+"/state", &s))
		t.Logf("%s: %s after %d changes, %d prompt and %d output tokens", n.VM.ID, s.Role, k.RoleChanges, k.PrefillTokens, k.OutputTokens)
		require.LessOrEqual(t, k.RoleChanges, int64(1))
		total += k.RoleChanges
	}
	require.NotZero(t, total)
}
