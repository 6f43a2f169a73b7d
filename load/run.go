package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
)

// Result is how one arrival was served.
type Result struct {
	// Err is nil for a whole answer.
	Err error
	// FirstToken is the time to the first token, Total to the end of the answer.
	FirstToken, Total time.Duration
	// TokenGaps are the times between tokens.
	TokenGaps    []time.Duration
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// Sender sends one request and waits for its answer.
type Sender interface {
	Send(ctx context.Context, s *Workload, a Arrival) Result
}

// Run sends the workload's arrivals at their times and reports on them. It
// ends early when ctx is done.
func Run(ctx context.Context, s *Workload, clock mn.Clock, sender Sender) *Report {
	r := newReport(s)
	plan := s.Plan()
	begun := clock.Now()
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	var open atomic.Int64
	var wg sync.WaitGroup
	for _, a := range plan {
		if clock.Sleep(ctx, begun+a.At-clock.Now()) != nil {
			break
		}
		if open.Load() >= s.MaxOpen {
			r.unsent(a)
			continue
		}
		open.Add(1)
		wg.Go(func() {
			defer open.Add(-1)
			r.add(a, sender.Send(sending, s, a))
		})
	}
	stop := time.AfterFunc(s.DrainTimeout.Duration(), cancel)
	wg.Wait()
	stop.Stop()
	r.finish(clock.Now() - begun)
	return r
}

// RoundRobinSender sends requests to entries in turn. It implements [Sender].
type RoundRobinSender struct {
	clients [][]*caller.Client // by customer, then entry
	next    atomic.Uint64
}

// NewRoundRobinSender returns a sender for the workload's customers and entries.
func NewRoundRobinSender(s *Workload) *RoundRobinSender {
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	c := &RoundRobinSender{}
	for _, customer := range s.Customers {
		var row []*caller.Client
		for _, e := range s.Entries {
			row = append(row, caller.NewClientHTTP(h, e, customer.Key))
		}
		c.clients = append(c.clients, row)
	}
	return c
}

// Send implements [Sender].
func (c *RoundRobinSender) Send(ctx context.Context, s *Workload, a Arrival) Result {
	row := c.clients[a.Customer]
	client := row[c.next.Add(1)%uint64(len(row))]
	begun := time.Now()
	var r Result
	if a.Booking {
		_, r.Err = client.Call(ctx, &apipb.CallRequest{
			Pool:           string(s.Pool),
			Path:           "/book",
			Body:           []byte("booking"),
			IdempotencyKey: string(mn.NewRequestID()),
			DeadlineMs:     int64(s.Kinds[a.Kind].Deadline),
		})
	} else {
		r = generate(ctx, client, s, a)
	}
	r.Total = time.Since(begun) + 2*s.ClientDelay.Duration()
	return r
}

func generate(ctx context.Context, client *caller.Client, s *Workload, a Arrival) Result {
	var r Result
	begun := time.Now()
	last := begun
	r.Err = client.Generate(ctx, &apipb.GenerateRequest{
		Model:      string(s.Model),
		Prompt:     s.Prompt(a),
		MaxTokens:  a.OutputTokens,
		DeadlineMs: int64(s.Kinds[a.Kind].Deadline - 2*s.ClientDelay),
	}, func(k *apipb.GenerateChunk) error {
		now := time.Now()
		if k.Tokens > 0 && r.FirstToken == 0 {
			r.FirstToken = now.Sub(begun) + 2*s.ClientDelay.Duration()
		} else if k.Tokens > 0 {
			r.TokenGaps = append(r.TokenGaps, now.Sub(last))
		}
		last = now
		if e := k.End; e != nil {
			r.PromptTokens, r.CachedTokens, r.OutputTokens = e.PromptTokens, e.CachedTokens, e.OutputTokens
		}
		return nil
	})
	return r
}
