// Package gauge measures the delay, CPU time and memory that entry and agent add to a
// request, compared with calls that go directly to the same endpoint. It also measures
// how fast changes propagate, and what idle processes use.
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
	// maxDelayMicros is the longest delay that a histogram can record.
	maxDelayMicros = 60_000_000
)

// Options configures a run.
type Options struct {
	// Bin is the directory that contains the programs.
	Bin string
	// Calls is the number of calls that the delay and throughput parts send, and the
	// number of rounds of the configuration part.
	Calls int
	// Clients is the number of concurrent callers in the throughput part.
	Clients int
	// Agents is the number of endpoints: plain services in the delay and throughput
	// parts, model engines in the others.
	Agents int
	// Part is "delay", "throughput", "configuration", "idle", or "all" for delay and
	// throughput.
	Part string
}

// Run starts a cluster, measures, prints the results to out, and ends the cluster.
func Run(ctx context.Context, options Options, out io.Writer) error {
	switch options.Part {
	case "configuration":
		return Configuration(ctx, options, out)
	case "idle":
		return Idle(ctx, options, out)
	}
	return procs.WithTemporaryCluster(options.Bin, func(cluster *procs.Cluster) error { return measureCalls(ctx, cluster, options, out) })
}

// measureCalls measures what entry and agent add to a call of a plain service.
func measureCalls(ctx context.Context, cluster *procs.Cluster, options Options, out io.Writer) error {
	entry, agents, err := build(ctx, cluster, options.Agents)
	if err != nil {
		return err
	}
	if options.Part != "throughput" {
		if err := printDelays(ctx, options, entry, agents[0], out); err != nil {
			return err
		}
	}
	if options.Part == "delay" {
		return nil
	}
	fmt.Fprintf(out, "profiles entry=%s agent=%s\n", entry.DebugURL(), agents[0].DebugURL())
	return printThroughput(ctx, options, entry, agents, out)
}

func build(ctx context.Context, cluster *procs.Cluster, n int) (*procs.Node, []*procs.Node, error) {
	_, err := cluster.Declare(ctx,
		mn.Resource{Customer: &mn.Customer{ID: "voering", Rate: 1e6, Burst: 1e6}},
		mn.Resource{Key: &mn.Key{Name: "voering-1", Hash: mn.HashKey(callerKey), Customer: "voering"}},
		mn.Resource{Pool: &mn.Pool{ID: "voorraad", Kind: mn.PoolPlain, Repeatable: true}},
	)
	if err != nil {
		return nil, nil, err
	}
	entry, err := cluster.AddEntry("entry-1", "tiel-a")
	if err != nil {
		return nil, nil, err
	}
	var agents []*procs.Node
	for i := range n {
		agent, err := cluster.AddPlainService(fmt.Sprintf("voorraad-%d", i+1), "tiel-a", "voorraad")
		if err != nil {
			return nil, nil, err
		}
		agents = append(agents, agent)
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

// callDirect calls the endpoint directly, without entry and agent.
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

// printDelays prints quantiles of the delays of calls that are sent one after another.
// It alternates between direct calls and calls through the entry, so that both meet the
// same load on the machine.
func printDelays(ctx context.Context, options Options, entry, agent *procs.Node, out io.Writer) error {
	httpClient := wire.NewHTTPClient()
	client := caller.NewClient(entry.CallerURL(), callerKey)
	direct, through := newHistogram(), newHistogram()
	for range options.Calls {
		if err := measureDelay(direct, func() error { return callDirect(ctx, httpClient, agent.EndpointURL()) }); err != nil {
			return err
		}
		if err := measureDelay(through, func() error { return callThroughEntry(ctx, client) }); err != nil {
			return err
		}
	}
	for _, q := range []float64{50, 99} {
		directMicros, throughMicros := direct.ValueAtQuantile(q), through.ValueAtQuantile(q)
		fmt.Fprintf(out, "delay quantile=%g calls=%d direct_us=%d whole_us=%d added_us=%d\n", q, options.Calls, directMicros, throughMicros, throughMicros-directMicros)
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxDelayMicros, 3) }

func measureDelay(histogram *hdrhistogram.Histogram, call func() error) error {
	start := time.Now()
	if err := call(); err != nil {
		return err
	}
	return histogram.RecordValue(max(1, time.Since(start).Microseconds()))
}

// printThroughput prints the rate that concurrent callers reach, and the CPU time and
// memory that entry and agents use for it. It estimates the agents' CPU time from that
// of the first agent.
func printThroughput(ctx context.Context, options Options, entry *procs.Node, agents []*procs.Node, out io.Writer) error {
	before, err := entry.Proc.CPUTime()
	if err != nil {
		return err
	}
	agentBefore, err := agents[0].Proc.CPUTime()
	if err != nil {
		return err
	}
	var remaining, failed atomic.Int64
	remaining.Store(int64(options.Calls))
	start := time.Now()
	var wg sync.WaitGroup
	for range options.Clients {
		wg.Go(func() {
			client := caller.NewClient(entry.CallerURL(), callerKey)
			for remaining.Add(-1) >= 0 {
				if callThroughEntry(ctx, client) != nil {
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
		options.Calls, options.Clients, len(agents), failed.Load(), float64(options.Calls)/elapsed.Seconds(),
		(after-before).Seconds()*1e6/float64(options.Calls),
		(agentAfter-agentBefore).Seconds()*1e6/float64(options.Calls)*float64(len(agents)))
	for _, n := range []*procs.Node{entry, agents[0]} {
		rss, err := n.Proc.ResidentMemory()
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "memory vm=%s resident_mb=%.1f\n", n.VM.ID, float64(rss)/(1<<20))
	}
	return nil
}
