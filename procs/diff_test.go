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

// referenceSystem is a reference implementation of the system: one process, without
// failures.
type referenceSystem struct {
	first map[string]string
	runs  map[string]int
}

// call runs a booking of customer as the system should, and returns the answer and
// the code.
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

// TestSameAsSingleProcess sends the same bookings, derived from a seed, to the system
// and to the reference. Some reuse idempotency keys of the same or another customer,
// some have invalid keys. Answers, codes and runs must be the same.
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

// TestLeavingAgentGetsNoNewWork terminates an agent with an open stream while another
// entry sends short requests. The stream must complete, and from two seconds after the
// signal on the engine must get no new request.
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
		afterDrain := seenRequests(n)
		time.Sleep(time.Second)
		counts <- [2]int{afterDrain, seenRequests(n)}
	})
	received := <-counts
	close(stop)
	require.Positive(t, received[0])
	require.Equal(t, received[0], received[1])
}

// seenRequests returns how many requests the engine of n has received, or -1 if it
// doesn't answer.
func seenRequests(n *procs.Node) int {
	var all []string
	if procs.FetchJSON(n.EndpointURL()+"/admin/seen", &all) != nil {
		return -1
	}
	return len(all)
}
