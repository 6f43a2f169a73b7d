package procs_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/fakes"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/plat"
)

// logSpan is the time of one call to the log: there and back between data
// centres.
const logSpan = 3

// claimer is the way not taken: each booking is claimed in the log before it
// runs, with one append for all claims that wait.
type claimer struct {
	log     *plat.Client
	mu      sync.Mutex
	waiting map[string]chan struct{}
	batch   []string
	kick    chan struct{}
}

func newClaimer(ctx context.Context, log *plat.Client) *claimer {
	c := &claimer{log: log, waiting: map[string]chan struct{}{}, kick: make(chan struct{}, 1)}
	go c.append(ctx)
	go c.read(ctx)
	return c
}

// claim returns once the claim has been read back.
func (c *claimer) claim(ctx context.Context, key string) error {
	won := make(chan struct{})
	c.mu.Lock()
	c.waiting[key] = won
	c.batch = append(c.batch, key)
	c.mu.Unlock()
	select {
	case c.kick <- struct{}{}:
	default:
	}
	select {
	case <-won:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *claimer) append(ctx context.Context) {
	for ctx.Err() == nil {
		<-c.kick
		c.mu.Lock()
		batch := c.batch
		c.batch = nil
		c.mu.Unlock()
		data, _ := json.Marshal(batch)
		for ctx.Err() == nil {
			if _, err := c.log.Append(ctx, "claims", data); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (c *claimer) read(ctx context.Context) {
	next := mn.Offset(1)
	for ctx.Err() == nil {
		b, err := c.log.Read(ctx, "claims", next, 100, mn.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for _, e := range b.Entries {
			var keys []string
			_ = json.Unmarshal(e.Data, &keys)
			c.mu.Lock()
			for _, k := range keys {
				close(c.waiting[k])
				delete(c.waiting, k)
			}
			c.mu.Unlock()
			next = e.Offset + 1
		}
	}
}

// BenchmarkBooking measures a booking with its key remembered at a home, and
// one that is claimed in the log, with the log up and for two seconds down.
func BenchmarkBooking(b *testing.B) {
	for _, claimed := range []bool{false, true} {
		name := "key home"
		if claimed {
			name = "claim in log"
		}
		b.Run(name, func(b *testing.B) { benchBooking(b, claimed) })
	}
}

func benchBooking(b *testing.B, claimed bool) {
	c := newCluster(b, 1, 0, 2)
	require.NoError(b, c.SetFault(c.PlatformURL(), fakes.LogSlow, logSpan))
	claims := newClaimer(b.Context(), c.PlatformClient())
	client := c.CallerClient(c.Nodes["entry-1"], voeringKey)
	one := func(ctx context.Context) error {
		m := &apipb.CallRequest{Pool: "orderbalie", Path: "book", Body: []byte("reel")}
		if claimed {
			if err := claims.claim(ctx, string(mn.NewRequestID())); err != nil {
				return err
			}
		} else {
			m.IdempotencyKey, m.Attempt = string(mn.NewRequestID()), 1
		}
		_, err := client.Call(ctx, m)
		return err
	}
	eventually(b, 6*mn.Second, one)
	var mu sync.Mutex
	var spans []time.Duration
	b.ResetTimer()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			began := time.Now()
			require.NoError(b, one(b.Context()))
			mu.Lock()
			spans = append(spans, time.Since(began))
			mu.Unlock()
		}
	})
	b.StopTimer()
	slices.Sort(spans)
	b.ReportMetric(float64(spans[len(spans)/2].Microseconds()), "median_us")
	b.ReportMetric(float64(spans[len(spans)*99/100].Microseconds()), "p99_us")
	b.ReportMetric(float64(served(b, c.PlatformURL(), c.SetFault, one)), "served_in_outage")
}

// served counts the bookings that are answered within two seconds without log.
func served(b *testing.B, url string, fault func(string, string, int64) error, one func(context.Context) error) int {
	require.NoError(b, fault(url, fakes.LogDown, 1))
	defer func() { require.NoError(b, fault(url, fakes.LogDown, 0)) }()
	ctx, cancel := context.WithTimeout(b.Context(), 2*time.Second)
	defer cancel()
	n := 0
	for ctx.Err() == nil {
		if one(ctx) == nil {
			n++
		}
		time.Sleep(10 * time.Millisecond)
	}
	return n
}
