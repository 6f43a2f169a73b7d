package procs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/procs"
)

// referenceSystem is the naive version of the system: one process, no failures.
type referenceSystem struct {
	first map[string]string
	runs  map[string]int
}

// call answers a booking of customer, given as it is sent to the system.
func (s *referenceSystem) call(customer string, m *apipb.CallRequest) (string, mn.Code) {
	if m.IdempotencyKey != "" {
		if _, err := mn.IdempotencyKey(m.IdempotencyKey).Created(); err != nil {
			return "", mn.BadIdempotencyKey
		}
		content := customer + "/" + m.Path + "/" + string(m.Body)
		if earlier, ok := s.first[m.IdempotencyKey]; ok {
			if earlier != content {
				return "", mn.Duplicate
			}
			return "done " + string(m.Body), mn.OK
		}
		s.first[m.IdempotencyKey] = content
	}
	s.runs[fmt.Sprintf("%q", m.Body)]++
	return "done " + string(m.Body), mn.OK
}

// TestSameAsSingleProcess sends the same seeded bookings, with keys used again
// by the same and by other customers, through the system and the naive version:
// same answers, same bookings.
func TestSameAsSingleProcess(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 0, 3)
	eventually(t, 6*mn.Second, func(ctx context.Context) error {
		_, err := retryingClient(c, voeringKey, 0, 3).Call(ctx, &apipb.CallRequest{Pool: "orderbalie", Path: "book", Body: []byte("warm")})
		return err
	})
	reference := &referenceSystem{first: map[string]string{}, runs: map[string]int{`"warm"`: 1}}
	random := rand.New(rand.NewPCG(7, 7))
	customers := map[string]string{"voering": voeringKey, "birligi": birligiKey}
	var keys []string
	for i := range 400 {
		key := ""
		switch n := random.IntN(10); {
		case n < 4 && len(keys) > 0:
			key = keys[random.IntN(len(keys))]
		case n < 8:
			key = string(mn.NewRequestID())
			keys = append(keys, key)
		case n == 8:
			key = "not a key"
		}
		customer := []string{"voering", "birligi"}[random.IntN(2)]
		m := &apipb.CallRequest{Pool: "orderbalie", Path: "book", IdempotencyKey: key, Body: []byte(fmt.Sprint("reel ", random.IntN(40)))}
		entry := c.Nodes[mn.VMID(fmt.Sprintf("entry-%d", 1+random.IntN(3)))]
		body, code := "", mn.OK
		if resp, err := c.CallerClient(entry, customers[customer]).Call(t.Context(), m); err != nil {
			code = mn.CodeOf(err)
		} else {
			body = string(resp.Body)
		}
		wantBody, wantCode := reference.call(customer, m)
		require.Equal(t, wantCode, code, "request %d", i)
		require.Equal(t, wantBody, body, "request %d", i)
	}
	require.Equal(t, reference.runs, bookingRuns(t, c))
}

// TestLeavingAgentGetsNoNewWork has an agent leave with a stream open across
// it: the stream ends whole, and the engine gets nothing new after two seconds.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2, 0)
	client := c.CallerClient(c.Nodes["entry-1"], voeringKey)
	eventually(t, 6*mn.Second, func(ctx context.Context) error {
		_, _, err := generate(ctx, client, "warm", 1)
		return err
	})
	for _, n := range c.Nodes {
		if n.Endpoint != nil {
			require.NoError(t, c.SetFault(n.EndpointURL(), fakes.TokenMillis, 40))
		}
	}
	counts := make(chan [2]int, 1)
	stop := make(chan struct{})
	runStream(t, client, "long", func(agent mn.VMID) {
		n := c.Nodes[agent]
		_ = n.Proc.Terminate()
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					_, _, _ = generate(context.Background(), c.CallerClient(c.Nodes["entry-2"], voeringKey), fmt.Sprint("short ", i), 1)
				}
			}
		}()
		time.Sleep(2 * time.Second)
		afterDrain := seenPrompts(n)
		time.Sleep(time.Second)
		counts <- [2]int{afterDrain, seenPrompts(n)}
	})
	seen := <-counts
	close(stop)
	require.Positive(t, seen[0])
	require.Equal(t, seen[0], seen[1])
}

func seenPrompts(n *procs.Node) int {
	var all []string
	if procs.FetchJSON(n.EndpointURL()+"/admin/seen", &all) != nil {
		return -1
	}
	return len(all)
}
