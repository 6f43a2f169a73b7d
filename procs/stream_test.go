package procs_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
	"mustardnotch/procs"
)

const (
	streamTokens = 120
	faultAtChunk = 30
)

// generateClient is a client of one entry, or a retrying client of several.
type generateClient interface {
	Generate(ctx context.Context, m *apipb.GenerateRequest, sink func(*apipb.GenerateChunk) error) error
}

// runStream runs one generation and calls inject with the agent's VM when faultAtChunk
// chunks have arrived. It requires a complete answer with each chunk once and in order.
func runStream(t *testing.T, client generateClient, prompt string, inject func(agent mn.VMID)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	var text strings.Builder
	var next int64
	var end *apipb.EndMarker
	start := time.Now()
	err := client.Generate(ctx, &apipb.GenerateRequest{Model: "taalpers", Prompt: prompt, MaxTokens: streamTokens}, func(k *apipb.GenerateChunk) error {
		if k.End != nil {
			end = k.End
			return nil
		}
		next++
		require.Equal(t, next, k.Sequence)
		text.WriteString(k.Text)
		if next == faultAtChunk {
			go inject(mn.VMID(strings.Split(k.ResumeToken, "/")[1]))
		}
		return nil
	})
	require.NoError(t, err, "after %d chunks and %d ms", next, time.Since(start).Milliseconds())
	require.Equal(t, fakes.Output(prompt, streamTokens), text.String())
	require.EqualValues(t, streamTokens, end.OutputTokens)
	t.Logf("complete after %d ms", time.Since(start).Milliseconds())
}

// TestStreams has each process on the path of an open stream fail or shut down. Guards
// against a truncated answer and against lost or repeated chunks.
func TestStreams(t *testing.T) {
	for name, tt := range map[string]struct {
		// noRetries uses a client of entry-1 without retries, for faults that the entry must
		// hide from its caller.
		noRetries bool
		inject    func(t *testing.T, c *procs.Cluster, agent *procs.Node)
	}{
		"no fault": {true, func(*testing.T, *procs.Cluster, *procs.Node) {}},
		"agent leaves": {true, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			require.NoError(t, agent.Proc.Terminate())
		}},
		"entry leaves": {true, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			require.NoError(t, c.Nodes["entry-1"].Proc.Terminate())
		}},
		"entry killed": {false, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			c.Nodes["entry-1"].Proc.Kill()
		}},
		"agent killed": {true, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			agent.Proc.Kill()
		}},
		"engine killed": {true, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			agent.Endpoint.Kill()
		}},
		"engine killed, then entry": {false, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			agent.Endpoint.Kill()
			time.Sleep(300 * time.Millisecond)
			c.Nodes["entry-1"].Proc.Kill()
		}},
		"entry and agent killed at once": {false, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			agent.Proc.Kill()
			c.Nodes["entry-1"].Proc.Kill()
		}},
		"connection to the agent silent": {true, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			agent.PeerLink.Blackhole()
		}},
		"agent paused": {true, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			require.NoError(t, agent.Proc.Pause())
		}},
		"entry paused": {false, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			require.NoError(t, c.Nodes["entry-1"].Proc.Pause())
		}},
		"log down, agent leaves": {true, func(t *testing.T, c *procs.Cluster, agent *procs.Node) {
			require.NoError(t, c.SetFault(c.PlatformURL(), fakes.LogDown, 1))
			require.NoError(t, agent.Proc.Terminate())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClusterWith(t, options{useLinks: true}, 2, 2, 0)
			for _, n := range c.Nodes {
				if n.Endpoint != nil {
					require.NoError(t, c.SetFault(n.EndpointURL(), fakes.TokenMillis, 20))
				}
			}
			eventually(t, 6*mn.Second, func(ctx context.Context) error {
				_, _, err := generate(ctx, c.CallerClient(c.Nodes["entry-1"], voeringKey), "warm", 1)
				return err
			})
			var client generateClient = retryingClient(c, voeringKey, 0, 2)
			if tt.noRetries {
				client = c.CallerClient(c.Nodes["entry-1"], voeringKey)
			}
			runStream(t, client, "check spec of "+name, func(agent mn.VMID) { tt.inject(t, c, c.Nodes[agent]) })
		})
	}
}

// TestBlackholedCallerConnection drops all bytes of the caller's connection to its entry.
// The retrying client must notice that and resume the stream.
func TestBlackholedCallerConnection(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, 0)
	require.NoError(t, c.SetFault(c.Nodes["taalpers-1"].EndpointURL(), fakes.TokenMillis, 20))
	entry := c.Nodes["entry-1"]
	addr := entry.IP + ":7011"
	link, err := procs.NewLink(addr, strings.TrimPrefix(entry.CallerURL(), "http://"))
	require.NoError(t, err)
	defer link.Close()
	client := caller.NewRetryingClient([]string{"http://" + addr, c.Nodes["entry-2"].CallerURL()}, voeringKey, mn.NewSystemClock())
	eventually(t, 6*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, c.CallerClient(entry, voeringKey), "warm", 1)
		return err
	})
	runStream(t, client, "check spec", func(mn.VMID) { link.Blackhole() })
}

// TestPoisonRequestIsQuarantined repeatedly sends a request that crashes every engine
// that runs it, through all entries. It may crash two engines and no more, and other
// requests must be served afterwards.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 4, 0)
	client := retryingClient(c, voeringKey, 0, 2)
	eventually(t, 6*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, c.CallerClient(c.Nodes["entry-1"], voeringKey), "warm", 1)
		return err
	})
	codes := map[mn.Code]int{}
	for i := range 10 {
		entryClient := c.CallerClient(c.Nodes[mn.VMID(fmt.Sprintf("entry-%d", i%2+1))], voeringKey)
		_, _, err := generate(t.Context(), entryClient, fakes.PoisonPrompt+" spec", 20)
		require.Error(t, err)
		codes[mn.CodeOf(err)]++
		if i == 0 {
			require.Equal(t, mn.OutcomeUnknown, mn.AsError(err).Outcome, "the first request ran: %v", err)
		} else {
			require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome, "%v", err)
		}
		t.Logf("request %d: %v", i, err)
		require.Equal(t, i == 0, mn.AsError(err).Outcome == mn.OutcomeUnknown, "only the first request ran")
	}
	require.Equal(t, 10, codes[mn.Quarantined], "%v", codes)
	crashed := 0
	for _, n := range c.Nodes {
		if n.Endpoint != nil && !n.Endpoint.Running() {
			crashed++
		}
	}
	require.Equal(t, 2, crashed)
	for i := range 20 {
		runStream(t, client, fmt.Sprint("innocent ", i), func(mn.VMID) {})
	}
}
