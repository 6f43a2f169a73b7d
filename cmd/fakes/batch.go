package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/fakes/batch"
)

func batchCommand(listen cli.Flag) *cli.Command {
	params := batch.DefaultParams()
	return &cli.Command{
		Name:  "batch",
		Usage: "serve a model engine with continuous batching",
		Flags: []cli.Flag{
			listen,
			&cli.StringFlag{Name: "model", Value: "taalpers"},
			&cli.StringFlag{Name: "version", Value: "1"},
			&cli.StringFlag{Name: "role", Value: string(mn.EngineMixed), Usage: "`ROLE` to start in: mixed, prefill or decode"},
			&cli.BoolFlag{Name: "fencing", Usage: "reject orders with an older fencing token"},
			&cli.Int64Flag{Name: "step_us", Value: int64(params.Step), Usage: "time of every step in `MICROSECONDS`"},
			&cli.Int64Flag{Name: "prefill_us", Value: int64(params.Prefill), Usage: "time per prefilled token in `MICROSECONDS`"},
			&cli.Int64Flag{Name: "decode_us", Value: int64(params.Decode), Usage: "time per output token in `MICROSECONDS`"},
			&cli.Int64Flag{Name: "batch", Value: int64(params.MaxBatch), Usage: "maximum number `N` of requests in a step"},
			&cli.Int64Flag{Name: "cache_tokens", Value: params.CacheTokens, Usage: "capacity of the prefix cache in tokens, `N`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			params := params
			params.Fencing = c.Bool("fencing")
			params.Step = batch.Micros(c.Int64("step_us"))
			params.Prefill = batch.Micros(c.Int64("prefill_us"))
			params.Decode = batch.Micros(c.Int64("decode_us"))
			params.MaxBatch = int(c.Int64("batch"))
			params.CacheTokens = c.Int64("cache_tokens")
			addr := c.String("listen")
			engine := batch.New(mn.NewSystemClock(), params, mn.ModelID(c.String("model")), c.String("version"), "http://"+addr)
			engine.SetRole(mn.EngineRole(c.String("role")))
			group, ctx := errgroup.WithContext(ctx)
			group.Go(func() error { return engine.Run(ctx) })
			group.Go(func() error { return serve(ctx, addr, engine.Handler()) })
			return group.Wait()
		},
	}
}
