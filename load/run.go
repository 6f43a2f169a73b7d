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

// Result is the outcome of one request.
type Result struct {
	// Err is nil for a complete answer.
	Err error
	// FirstToken is the time from sending to the first token, Total that to the end
	// of the answer.
	FirstToken, Total time.Duration
	// TokenGaps are the times between successive tokens.
	TokenGaps    []time.Duration
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// Sender sends one request and waits for its answer.
type Sender interface {
	Send(ctx context.Context, w *Workload, a Arrival) Result
}

// Run sends the workload's arrivals at their times and returns a report of the
// results. Requests that are still open DrainTimeout after the last arrival are
// cancelled. Run ends early when ctx is done.
func Run(ctx context.Context, w *Workload, clock mn.Clock, sender Sender) *Report {
	r := newReport(w)
	plan := w.Plan()
	started := clock.Now()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var open atomic.Int64
	var wg sync.WaitGroup
	for _, a := range plan {
		if clock.Sleep(ctx, started+a.At-clock.Now()) != nil {
			break
		}
		if open.Load() >= w.MaxOpen {
			r.addUnsent(a)
			continue
		}
		open.Add(1)
		wg.Go(func() {
			defer open.Add(-1)
			r.add(a, sender.Send(sendCtx, w, a))
		})
	}
	drainTimer := time.AfterFunc(w.DrainTimeout.Duration(), cancel)
	wg.Wait()
	drainTimer.Stop()
	r.finish(clock.Now() - started)
	return r
}

// RoundRobinSender is a [Sender] that uses the entries in turn.
type RoundRobinSender struct {
	clients   [][]*caller.Client // indexed by customer and entry
	nextEntry atomic.Uint64
}

// NewRoundRobinSender returns a sender with the workload's customers and entries.
func NewRoundRobinSender(w *Workload) *RoundRobinSender {
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	s := &RoundRobinSender{}
	for _, customer := range w.Customers {
		var row []*caller.Client
		for _, e := range w.Entries {
			row = append(row, caller.NewClientHTTP(h, e, customer.Key))
		}
		s.clients = append(s.clients, row)
	}
	return s
}

// Send implements [Sender].
func (s *RoundRobinSender) Send(ctx context.Context, w *Workload, a Arrival) Result {
	row := s.clients[a.Customer]
	client := row[s.nextEntry.Add(1)%uint64(len(row))]
	started := time.Now()
	var r Result
	if a.Booking {
		_, r.Err = client.Call(ctx, &apipb.CallRequest{
			Pool:           string(w.Pool),
			Path:           "/book",
			Body:           []byte("booking"),
			IdempotencyKey: string(mn.NewRequestID()),
			DeadlineMs:     int64(w.Kinds[a.Kind].Deadline),
		})
	} else {
		r = generate(ctx, client, w, a)
	}
	r.Total = time.Since(started) + 2*w.ClientDelay.Duration()
	return r
}

func generate(ctx context.Context, client *caller.Client, w *Workload, a Arrival) Result {
	var r Result
	started := time.Now()
	last := started
	r.Err = client.Generate(ctx, &apipb.GenerateRequest{
		Model:      string(w.Model),
		Prompt:     w.Prompt(a),
		MaxTokens:  a.OutputTokens,
		DeadlineMs: int64(w.Kinds[a.Kind].Deadline - 2*w.ClientDelay),
	}, func(chunk *apipb.GenerateChunk) error {
		now := time.Now()
		if chunk.Tokens > 0 && r.FirstToken == 0 {
			r.FirstToken = now.Sub(started) + 2*w.ClientDelay.Duration()
		} else if chunk.Tokens > 0 {
			r.TokenGaps = append(r.TokenGaps, now.Sub(last))
		}
		last = now
		if e := chunk.End; e != nil {
			r.PromptTokens, r.CachedTokens, r.OutputTokens = e.PromptTokens, e.CachedTokens, e.OutputTokens
		}
		return nil
	})
	return r
}
