// Package gauge measures what entry and agent add to a request: delay,
// processor time and memory, against calls of the same endpoint without them.
package gauge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
	"mustardnotch/io/wire"
	"mustardnotch/procs"
)

const (
	callerKey = "gauge-key-of-voering"
	// maxDelayMicros is the longest delay that a histogram holds.
	maxDelayMicros = 60_000_000
)

// Options bound a run.
type Options struct {
	// Bin has the programs.
	Bin string
	// Calls is how many calls each part sends.
	Calls int
	// Clients is how many callers the throughput part runs at once.
	Clients int
	// Agents is how many plain services there are.
	Agents int
	// Part is "delay", "throughput", "configuration", "idle" or "all", which is
	// the first two.
	Part string
}

// Run starts a cluster, measures, prints one line for each part to out, and
// ends the cluster.
func Run(ctx context.Context, o Options, out io.Writer) error {
	switch o.Part {
	case "configuration":
		return Configuration(ctx, o, out)
	case "idle":
		return Idle(ctx, o, out)
	}
	return procs.WithTemporaryCluster(o.Bin, func(c *procs.Cluster) error { return measureCalls(ctx, c, o, out) })
}

// measureCalls measures what entry and agent add to a plain call.
func measureCalls(ctx context.Context, c *procs.Cluster, o Options, out io.Writer) error {
	entry, agents, err := build(ctx, c, o.Agents)
	if err != nil {
		return err
	}
	if o.Part != "throughput" {
		if err := printDelays(ctx, o, entry, agents[0], out); err != nil {
			return err
		}
	}
	if o.Part == "delay" {
		return nil
	}
	fmt.Fprintf(out, "profiles entry=%s agent=%s\n", entry.DebugURL(), agents[0].DebugURL())
	return printThroughput(ctx, o, entry, agents, out)
}

func build(ctx context.Context, c *procs.Cluster, n int) (*procs.Node, []*procs.Node, error) {
	_, err := c.Declare(ctx,
		mn.Resource{Customer: &mn.Customer{ID: "voering", Rate: 1e6, Burst: 1e6}},
		mn.Resource{Key: &mn.Key{Name: "voering-1", Hash: mn.HashKey(callerKey), Customer: "voering"}},
		mn.Resource{Pool: &mn.Pool{ID: "voorraad", Kind: mn.PoolPlain, Repeatable: true}},
	)
	if err != nil {
		return nil, nil, err
	}
	entry, err := c.AddEntry("entry-1", "tiel-a")
	if err != nil {
		return nil, nil, err
	}
	var agents []*procs.Node
	for i := range n {
		a, err := c.AddPlainService(fmt.Sprintf("voorraad-%d", i+1), "tiel-a", "voorraad")
		if err != nil {
			return nil, nil, err
		}
		agents = append(agents, a)
	}
	return entry, agents, awaitReady(ctx, caller.NewClient(entry.CallerURL(), callerKey))
}

// awaitReady waits until the entry serves calls.
func awaitReady(ctx context.Context, client *caller.Client) error {
	var err error
	for range 200 {
		if err = callThroughEntry(ctx, client); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

func callThroughEntry(ctx context.Context, client *caller.Client) error {
	_, err := client.Call(ctx, &apipb.CallRequest{Pool: "voorraad", Path: "/stock", Body: []byte("reel 7")})
	return err
}

// callDirect calls the endpoint without entry and agent.
func callDirect(ctx context.Context, client *http.Client, base string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/stock", bytes.NewReader([]byte("reel 7")))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// printDelays sends calls one after the other, each in turn direct and through the
// system, so that both see the same machine.
func printDelays(ctx context.Context, o Options, entry, agent *procs.Node, out io.Writer) error {
	httpClient := wire.NewHTTPClient()
	client := caller.NewClient(entry.CallerURL(), callerKey)
	direct, through := newHistogram(), newHistogram()
	for range o.Calls {
		if err := measureDelay(direct, func() error { return callDirect(ctx, httpClient, agent.EndpointURL()) }); err != nil {
			return err
		}
		if err := measureDelay(through, func() error { return callThroughEntry(ctx, client) }); err != nil {
			return err
		}
	}
	for _, q := range []float64{50, 99} {
		d, w := direct.ValueAtQuantile(q), through.ValueAtQuantile(q)
		fmt.Fprintf(out, "delay quantile=%g calls=%d direct_us=%d whole_us=%d added_us=%d\n", q, o.Calls, d, w, w-d)
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxDelayMicros, 3) }

func measureDelay(h *hdrhistogram.Histogram, f func() error) error {
	start := time.Now()
	if err := f(); err != nil {
		return err
	}
	return h.RecordValue(max(1, time.Since(start).Microseconds()))
}

func printThroughput(ctx context.Context, o Options, entry *procs.Node, agents []*procs.Node, out io.Writer) error {
	before, err := entry.Proc.CPUTime()
	if err != nil {
		return err
	}
	agentBefore, err := agents[0].Proc.CPUTime()
	if err != nil {
		return err
	}
	var remaining, failed atomic.Int64
	remaining.Store(int64(o.Calls))
	start := time.Now()
	var wg sync.WaitGroup
	for range o.Clients {
		wg.Go(func() {
			c := caller.NewClient(entry.CallerURL(), callerKey)
			for remaining.Add(-1) >= 0 {
				if callThroughEntry(ctx, c) != nil {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	after, err := entry.Proc.CPUTime()
	if err != nil {
		return err
	}
	agentAfter, err := agents[0].Proc.CPUTime()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "throughput calls=%d clients=%d agents=%d failed=%d a_second=%.0f entry_cpu_us_a_call=%.1f agent_cpu_us_a_call=%.1f\n",
		o.Calls, o.Clients, len(agents), failed.Load(), float64(o.Calls)/elapsed.Seconds(),
		(after-before).Seconds()*1e6/float64(o.Calls),
		(agentAfter-agentBefore).Seconds()*1e6/float64(o.Calls)*float64(len(agents)))
	for _, n := range []*procs.Node{entry, agents[0]} {
		rss, err := n.Proc.ResidentMemory()
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "memory vm=%s resident_mb=%.1f\n", n.VM.ID, float64(rss)/(1<<20))
	}
	return nil
}
