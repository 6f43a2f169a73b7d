package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/fakes/batch"
)

func batchCommand(listen cli.Flag) *cli.Command {
	costs := batch.DefaultParams()
	return &cli.Command{
		Name:  "batch",
		Usage: "serve a model engine that batches continuously",
		Flags: []cli.Flag{
			listen,
			&cli.StringFlag{Name: "model", Value: "taalpers"},
			&cli.StringFlag{Name: "version", Value: "1"},
			&cli.StringFlag{Name: "role", Value: string(mn.EngineMixed), Usage: "`ROLE` to start in: mixed, prefill or decode"},
			&cli.BoolFlag{Name: "fencing", Usage: "refuse orders of older terms"},
			&cli.Int64Flag{Name: "step_us", Value: int64(costs.Step), Usage: "time of every step in `MICROSECONDS`"},
			&cli.Int64Flag{Name: "prefill_us", Value: int64(costs.Prefill), Usage: "time for a prompt token in `MICROSECONDS`"},
			&cli.Int64Flag{Name: "decode_us", Value: int64(costs.Decode), Usage: "time for an output token in `MICROSECONDS`"},
			&cli.Int64Flag{Name: "batch", Value: int64(costs.MaxBatch), Usage: "at most `N` requests in a step"},
			&cli.Int64Flag{Name: "cache_tokens", Value: costs.CacheTokens, Usage: "prefix cache of `N` tokens"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			costs := costs
			costs.Fencing = c.Bool("fencing")
			costs.Step = batch.Micros(c.Int64("step_us"))
			costs.Prefill = batch.Micros(c.Int64("prefill_us"))
			costs.Decode = batch.Micros(c.Int64("decode_us"))
			costs.MaxBatch = int(c.Int64("batch"))
			costs.CacheTokens = c.Int64("cache_tokens")
			addr := c.String("listen")
			e := batch.New(mn.NewSystemClock(), costs, mn.ModelID(c.String("model")), c.String("version"), "http://"+addr)
			e.SetRole(mn.EngineRole(c.String("role")))
			g, ctx := errgroup.WithContext(ctx)
			g.Go(func() error { return e.Run(ctx) })
			g.Go(func() error { return serve(ctx, addr, e.Handler()) })
			return g.Wait()
		},
	}
}
