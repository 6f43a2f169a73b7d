package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
	"mustardnotch/load"
	"mustardnotch/procs"
)

// slopeDuration is how long each point is measured.
const slopeDuration = 8 * mn.Second

// fastEngineArgs make stand-in engines so fast that they are never the bottleneck.
var fastEngineArgs = []string{"--step_us", "2000", "--prefill_us", "1", "--decode_us", "1", "--batch", "512"}

// slowEngineArgs make stand-in engines so slow that streams stay open during a
// measurement.
var slowEngineArgs = []string{"--step_us", "3000000", "--prefill_us", "1", "--decode_us", "1", "--batch", "8192"}

// MeasureSlopes measures what requests, tokens, open streams and, without load, the
// number of agents cost an entry and an agent. It prints one line for each point.
func MeasureSlopes(ctx context.Context, bin, dir string, out io.Writer) error {
	for _, f := range []func(context.Context, string, string, io.Writer) error{requestSlope, streamSlope, idleSlope} {
		if err := f(ctx, bin, dir, out); err != nil {
			return err
		}
	}
	return nil
}

// smallDeployment returns a deployment of one entry with the given number of engines.
func smallDeployment(engines int) Deployment {
	return Deployment{DataCentres: []mn.DataCentre{"a"}, Entries: 1, ModelPool: "m", Engines: engines, PlainPool: "p"}
}

func slopeWorkload(rate float64, tokens int64) *load.Workload {
	return &load.Workload{
		File: "slopes", Seed: 1, DrainTimeout: 5 * mn.Second, MaxOpen: 10_000,
		Kinds:     []load.Kind{{Name: "k", PromptTokens: 500, OutputTokens: tokens, PrefixCount: 1, Deadline: 30 * mn.Second}},
		Customers: []load.Customer{{ID: "c", Rate: rate, Burst: 10 * rate, RateMultiple: 1}},
		Phases:    []load.Phase{{Name: "p", Duration: slopeDuration, RateFactor: 1, KindWeights: map[string]float64{"k": 1}}},
	}
}

// requestSlope measures CPU time against requests a second and tokens a request.
func requestSlope(ctx context.Context, bin, dir string, out io.Writer) error {
	points := []struct {
		rate   float64
		tokens int64
	}{{25, 20}, {50, 20}, {100, 20}, {200, 20}, {50, 100}, {50, 200}}
	for _, p := range points {
		workload := slopeWorkload(p.rate, p.tokens)
		err := inCluster(ctx, Config{Bin: bin, Dir: dir, Deployment: smallDeployment(2), Router: "cost", DisableQueues: true, EngineArgs: fastEngineArgs}, workload, func(c *procs.Cluster) error {
			entry, agent := c.Nodes["entry-1"].Proc, c.Nodes["m-1"].Proc
			entryBefore, agentBefore := cpuOf(entry), cpuOf(agent)
			r := load.Run(ctx, workload, mn.NewSystemClock(), load.NewRoundRobinSender(workload))
			answered := float64(r.All.InTime)
			entryCPU, agentCPU := cpuOf(entry)-entryBefore, cpuOf(agent)-agentBefore
			// There are two agents, and the measured one gets about half of the requests.
			_, err := fmt.Fprintf(out, "requests rate=%.0f tokens=%d answered=%.0f failed=%d entry_ms_per_request=%.3f agent_ms_per_request=%.3f entry_core_percent=%.1f\n",
				p.rate, p.tokens, answered, r.All.Failed, ms(entryCPU)/answered, 2*ms(agentCPU)/answered, 100*entryCPU.Seconds()/(float64(r.Elapsed)/1000))
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// streamSlope measures resident memory against the number of open streams.
func streamSlope(ctx context.Context, bin, dir string, out io.Writer) error {
	for _, n := range []int{1, 100, 400, 1600} {
		workload := slopeWorkload(1, 1)
		err := inCluster(ctx, Config{Bin: bin, Dir: dir, Deployment: smallDeployment(1), Router: "cost", DisableQueues: true, EngineArgs: slowEngineArgs}, workload, func(c *procs.Cluster) error {
			holdCtx, cancel := context.WithTimeout(ctx, (10 * mn.Second).Duration())
			defer cancel()
			g, holdCtx := errgroup.WithContext(holdCtx)
			client := c.CallerClient(c.Nodes["entry-1"], workload.Customers[0].Key)
			for range n {
				g.Go(func() error { openStream(holdCtx, client, string(workload.Model)); return nil })
			}
			if err := mn.NewSystemClock().Sleep(holdCtx, 8*mn.Second); err != nil {
				return err
			}
			entryMemory, err := c.Nodes["entry-1"].Proc.ResidentMemory()
			if err != nil {
				return err
			}
			agentMemory, err := c.Nodes["m-1"].Proc.ResidentMemory()
			if err != nil {
				return err
			}
			cancel()
			_ = g.Wait()
			_, err = fmt.Fprintf(out, "streams open=%d entry_resident_kb=%d agent_resident_kb=%d\n", n, entryMemory>>10, agentMemory>>10)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func openStream(ctx context.Context, client *caller.Client, model string) {
	prompt := make([]byte, 2000)
	for i := range prompt {
		prompt[i] = 'x'
	}
	_ = client.Generate(ctx, &apipb.GenerateRequest{Model: model, Prompt: string(prompt), MaxTokens: 100}, func(*apipb.GenerateChunk) error { return nil })
}

// idleSlope measures the CPU time of an idle entry and an idle agent against the
// number of agents.
func idleSlope(ctx context.Context, bin, dir string, out io.Writer) error {
	for _, n := range []int{1, 4, 8, 12} {
		workload := slopeWorkload(1, 1)
		err := inCluster(ctx, Config{Bin: bin, Dir: dir, Deployment: smallDeployment(n), Router: "cost", EngineArgs: fastEngineArgs}, workload, func(c *procs.Cluster) error {
			entry, agent := c.Nodes["entry-1"].Proc, c.Nodes["m-1"].Proc
			entryBefore, agentBefore := cpuOf(entry), cpuOf(agent)
			if err := mn.NewSystemClock().Sleep(ctx, slopeDuration); err != nil {
				return err
			}
			_, err := fmt.Fprintf(out, "idle agents=%d entry_core_percent=%.2f agent_core_percent=%.2f\n", n,
				100*(cpuOf(entry)-entryBefore).Seconds()/8, 100*(cpuOf(agent)-agentBefore).Seconds()/8)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// inCluster starts the deployment, calls f two seconds after it is ready, and stops
// the deployment.
func inCluster(ctx context.Context, c Config, workload *load.Workload, f func(*procs.Cluster) error) error {
	cluster, err := procs.New(c.Bin, c.Dir)
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := declareResources(ctx, cluster, c.Deployment, workload); err != nil {
		return err
	}
	if err := startProcesses(cluster, c, workload); err != nil {
		return err
	}
	if err := mn.NewSystemClock().Sleep(ctx, 2*mn.Second); err != nil {
		return err
	}
	return f(cluster)
}

// cpuOf returns the CPU time that p has used, or 0 if it can't be read.
func cpuOf(p *procs.Proc) time.Duration {
	d, err := p.CPUTime()
	if err != nil {
		return 0
	}
	return d
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
