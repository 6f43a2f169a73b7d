// Package demo sends a generation and a booking through a small cluster of
// processes and prints the answers and the traces.
package demo

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
	"mustardnotch/procs"
)

const customerKey = "demo-key-of-voering"

// stopTimeout is how long a process may take to shut down.
const stopTimeout = 20 * mn.Second

// Run starts a platform, two entries, a model engine and a plain service with the
// programs in bin, sends two requests, stops the processes, and prints the steps and
// the trace spans to out.
func Run(ctx context.Context, bin string, out io.Writer) error {
	return procs.WithTemporaryCluster(bin, func(c *procs.Cluster) error { return run(ctx, c, out) })
}

func run(ctx context.Context, c *procs.Cluster, out io.Writer) error {
	spans := filepath.Join(c.Dir, "spans.json")
	c.ExtraSettings = "[trace]\nexporter = file\ntarget = " + spans + "\n"
	if err := startCluster(ctx, c, out); err != nil {
		return err
	}
	if err := sendRequests(ctx, c, out); err != nil {
		return err
	}
	if err := stopProcesses(c, out); err != nil {
		return err
	}
	return printTraces(spans, out)
}

func startCluster(ctx context.Context, c *procs.Cluster, out io.Writer) error {
	_, err := c.Declare(ctx,
		mn.Resource{Customer: &mn.Customer{ID: "voering", Rate: 50, Burst: 100}},
		mn.Resource{Key: &mn.Key{Name: "voering-1", Hash: mn.HashKey(customerKey), Customer: "voering"}},
		mn.Resource{Model: &mn.Model{ID: "taalpers", Version: "1", MaxTokens: 512}},
		mn.Resource{Pool: &mn.Pool{ID: "taalpers", Kind: mn.PoolModel, Model: "taalpers", MinEndpoints: 1}},
		mn.Resource{Pool: &mn.Pool{ID: "orderbalie", Kind: mn.PoolPlain, MinEndpoints: 1}},
	)
	if err != nil {
		return err
	}
	adds := []func() (*procs.Node, error){
		func() (*procs.Node, error) { return c.AddEntry("entry-1", "tiel-a") },
		func() (*procs.Node, error) { return c.AddEntry("entry-2", "tiel-b") },
		func() (*procs.Node, error) { return c.AddEngine("taalpers-1", "tiel-a", "taalpers", "taalpers") },
		func() (*procs.Node, error) { return c.AddPlainService("orderbalie-1", "tiel-b", "orderbalie") },
	}
	for _, add := range adds {
		n, err := add()
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "started %s: vm=%s data_centre=%s pid=%d\n", n.VM.Role, n.VM.ID, n.VM.DataCentre, n.Proc.PID())
	}
	return nil
}

func sendRequests(ctx context.Context, c *procs.Cluster, out io.Writer) error {
	clients := []*caller.Client{c.CallerClient(c.Nodes["entry-1"], customerKey), c.CallerClient(c.Nodes["entry-2"], customerKey)}
	var text strings.Builder
	var chunks int
	err := clients[0].Generate(ctx, &apipb.GenerateRequest{Model: "taalpers", Prompt: "check lining spec 12", MaxTokens: 12}, func(k *apipb.GenerateChunk) error {
		text.WriteString(k.Text)
		chunks++
		if e := k.End; e != nil {
			fmt.Fprintf(out, "generation through entry-1: %d chunks, prompt_tokens=%d output_tokens=%d: %s\n", chunks, e.PromptTokens, e.OutputTokens, text.String())
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("generation: %w", err)
	}
	booking := &apipb.CallRequest{Pool: "orderbalie", Path: "/book", Body: []byte("reel 7"), IdempotencyKey: string(mn.NewRequestID())}
	resp, err := clients[1].Call(ctx, booking)
	if err != nil {
		return fmt.Errorf("booking: %w", err)
	}
	fmt.Fprintf(out, "booking through entry-2: request=%s answer=%q\n", resp.RequestId, resp.Body)
	return nil
}

func stopProcesses(c *procs.Cluster, out io.Writer) error {
	for _, id := range []mn.VMID{"entry-1", "entry-2", "taalpers-1", "orderbalie-1"} {
		if err := c.Nodes[id].Proc.Terminate(); err != nil {
			return err
		}
	}
	for _, id := range []mn.VMID{"entry-1", "entry-2", "taalpers-1", "orderbalie-1"} {
		code, err := c.Nodes[id].Proc.Wait(stopTimeout)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "stopped vm=%s exit_code=%d\n", id, code)
		if code != 0 {
			return fmt.Errorf("%s exited with code %d: %s", id, code, c.Nodes[id].Proc.Tail(2000))
		}
	}
	return nil
}
