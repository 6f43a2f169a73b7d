package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
	"mustardnotch/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run fronts as processes with stand-in endpoints, inject faults chosen by a seed, and check what callers and endpoints observe",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "`DIR` with the programs", Value: "bin"},
			&cli.Int64Flag{Name: "seed", Usage: "first `SEED`", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`N` seeds, one after another", Value: 1},
			&cli.IntFlag{Name: "fronts", Usage: "`N` fronts", Value: 4},
			&cli.IntFlag{Name: "callers", Usage: "`N` concurrent callers", Value: 24},
			&cli.Int64Flag{Name: "span_ms", Usage: "time in `MILLISECONDS` for which faults are injected", Value: 20_000},
			&cli.StringSliceFlag{Name: "faults", Usage: "only faults with one of the comma-separated `TEXTS` in their names"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			failedSeeds := 0
			for n := range c.Int("seeds") {
				dir, err := os.MkdirTemp("", "mustardnotch-soak-")
				if err != nil {
					return err
				}
				options := soak.Options{Bin: c.String("bin"), Dir: dir, Seed: c.Int64("seed") + int64(n), Fronts: c.Int("fronts"),
					Callers: c.Int("callers"), FaultDuration: mn.Millis(c.Int64("span_ms")), Faults: c.StringSlice("faults")}
				violations, err := soak.Run(ctx, options, os.Stdout)
				if err != nil {
					return fmt.Errorf("seed %d, logs in %s: %w", options.Seed, dir, err)
				}
				if len(violations) == 0 {
					if err := os.RemoveAll(dir); err != nil {
						return err
					}
					continue
				}
				failedSeeds++
				fmt.Printf("seed %d: logs in %s; repeat with: fakes soak --seed %d --span_ms %d\n", options.Seed, dir, options.Seed, options.FaultDuration)
			}
			if failedSeeds > 0 {
				return fmt.Errorf("%d of %d seeds violated a guarantee", failedSeeds, c.Int("seeds"))
			}
			return nil
		},
	}
}
