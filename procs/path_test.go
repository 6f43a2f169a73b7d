package procs_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
	"mustardnotch/procs"
)

// generate runs a generation to its end and returns its text and end marker.
func generate(ctx context.Context, c *caller.Client, prompt string, tokens int64) (string, *apipb.EndMarker, error) {
	var text strings.Builder
	var end *apipb.EndMarker
	err := c.Generate(ctx, &apipb.GenerateRequest{Model: "taalpers", Prompt: prompt, MaxTokens: tokens}, func(k *apipb.GenerateChunk) error {
		text.WriteString(k.Text)
		if k.End != nil {
			end = k.End
		}
		return nil
	})
	return text.String(), end, err
}

// TestEndToEnd sends a streamed generation and a plain call through an entry and an
// agent to an endpoint, each a separate process. The plain service must receive the
// customer's ID and must not receive its key.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 1)
	client := c.CallerClient(c.Nodes["entry-1"], voeringKey)

	eventually(t, 6*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, client, "warm", 1)
		return err
	})
	text, end, err := generate(t.Context(), client, "check spec 12", 40)
	require.NoError(t, err)
	require.Equal(t, fakes.Output("check spec 12", 40), text)
	require.EqualValues(t, 40, end.OutputTokens)
	require.EqualValues(t, fakes.PromptTokens("check spec 12"), end.PromptTokens)

	resp, err := client.Call(t.Context(), &apipb.CallRequest{Pool: "orderbalie", Path: "/book", Body: []byte("reel 7")})
	require.NoError(t, err)
	require.Equal(t, "done reel 7", string(resp.Body))
	var runs []fakes.Run
	require.NoError(t, procs.FetchJSON(c.Nodes["orderbalie-1"].EndpointURL()+"/admin/runs", &runs))
	require.Len(t, runs, 1)
	require.Equal(t, "voering", runs[0].Customer)
	require.NotContains(t, runs[0].Headers, voeringKey)
}

// TestRejections checks that invalid requests are rejected with the right code and
// don't run.
func TestRejections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, 1)
	entry := c.Nodes["entry-1"]
	tests := []struct {
		name string
		key  string
		req  *apipb.CallRequest
		want mn.Code
	}{
		{"no key", "", &apipb.CallRequest{Pool: "orderbalie"}, mn.Unauthenticated},
		{"wrong key", "nonsense", &apipb.CallRequest{Pool: "orderbalie"}, mn.Unauthenticated},
		{"withdrawn key", withdrawnKey, &apipb.CallRequest{Pool: "orderbalie"}, mn.KeyWithdrawn},
		{"unknown pool", voeringKey, &apipb.CallRequest{Pool: "nowhere"}, mn.UnknownPool},
		{"model pool", voeringKey, &apipb.CallRequest{Pool: "taalpers"}, mn.UnknownPool},
		{"negative deadline", voeringKey, &apipb.CallRequest{Pool: "orderbalie", DeadlineMs: -1}, mn.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := c.CallerClient(entry, tt.key).Call(t.Context(), tt.req)
			require.Equal(t, tt.want, mn.CodeOf(err), "%v", err)
			require.Equal(t, mn.OutcomeNotRun, mn.AsError(err).Outcome)
		})
	}
	var runs []fakes.Run
	require.NoError(t, procs.FetchJSON(c.Nodes["orderbalie-1"].EndpointURL()+"/admin/runs", &runs))
	require.Empty(t, runs)
}
