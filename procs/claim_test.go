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

// logLatency is the duration of one call to the log in ms, the unit of
// fakes.LogSlow. It stands for a round trip between data centres.
const logLatency = 3

// logClaimer implements the rejected alternative to key homes, as a baseline for
// BenchmarkBooking: each booking is claimed in the log before it runs. All waiting
// claims share one append.
type logClaimer struct {
	log     *plat.Client
	mu      sync.Mutex
	waiting map[string]chan struct{}
	batch   []string
	wake    chan struct{}
}

func newLogClaimer(ctx context.Context, log *plat.Client) *logClaimer {
	c := &logClaimer{log: log, waiting: map[string]chan struct{}{}, wake: make(chan struct{}, 1)}
	go c.append(ctx)
	go c.read(ctx)
	return c
}

// claim appends a claim for key and returns when it has been read back.
func (c *logClaimer) claim(ctx context.Context, key string) error {
	claimed := make(chan struct{})
	c.mu.Lock()
	c.waiting[key] = claimed
	c.batch = append(c.batch, key)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	select {
	case <-claimed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *logClaimer) append(ctx context.Context) {
	for ctx.Err() == nil {
		<-c.wake
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

func (c *logClaimer) read(ctx context.Context) {
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

// BenchmarkBooking measures bookings whose key is remembered at its home, and
// bookings that are claimed in the log: latency with the log up, and how many are
// served while the log is down for two seconds.
func BenchmarkBooking(b *testing.B) {
	for _, claimed := range []bool{false, true} {
		name := "key home"
		if claimed {
			name = "claim in log"
		}
		b.Run(name, func(b *testing.B) { benchmarkBooking(b, claimed) })
	}
}

func benchmarkBooking(b *testing.B, claimed bool) {
	c := newCluster(b, 1, 0, 2)
	require.NoError(b, c.SetFault(c.PlatformURL(), fakes.LogSlow, logLatency))
	claims := newLogClaimer(b.Context(), c.PlatformClient())
	client := c.CallerClient(c.Nodes["entry-1"], voeringKey)
	bookOnce := func(ctx context.Context) error {
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
	eventually(b, 6*mn.Second, bookOnce)
	var mu sync.Mutex
	var latencies []time.Duration
	b.ResetTimer()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			start := time.Now()
			require.NoError(b, bookOnce(b.Context()))
			mu.Lock()
			latencies = append(latencies, time.Since(start))
			mu.Unlock()
		}
	})
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "median_us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99_us")
	b.ReportMetric(float64(servedDuringOutage(b, c.PlatformURL(), c.SetFault, bookOnce)), "served_in_outage")
}

// servedDuringOutage takes the log down for two seconds and returns how many bookings
// are answered meanwhile.
func servedDuringOutage(b *testing.B, url string, setFault func(string, string, int64) error, bookOnce func(context.Context) error) int {
	require.NoError(b, setFault(url, fakes.LogDown, 1))
	defer func() { require.NoError(b, setFault(url, fakes.LogDown, 0)) }()
	ctx, cancel := context.WithTimeout(b.Context(), 2*time.Second)
	defer cancel()
	n := 0
	for ctx.Err() == nil {
		if bookOnce(ctx) == nil {
			n++
		}
		time.Sleep(10 * time.Millisecond)
	}
	return n
}
