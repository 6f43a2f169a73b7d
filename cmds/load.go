package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
	"mustardnotch/load"
	"mustardnotch/load/chart"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a workload and report how it was served",
		Description: example("mustardnotch load --workload docs/examples/voering-load.ini --json run.json --plot run.png") +
			"\n   mustardnotch load compare baseline.json run.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Usage: "INI `FILE` that describes the workload"},
			&cli.StringSliceFlag{Name: "entry", Usage: "base `URL` of an entry; replaces those of the file and may be repeated"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` that replaces that of the file"},
			&cli.StringFlag{Name: "label", Usage: "`NAME` of the run in comparisons", Value: "run"},
			&cli.StringFlag{Name: "json", Usage: "write the report to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "plot the run into the PNG `FILE`"},
		},
		Action:   runLoad,
		Commands: []*cli.Command{compareCommand()},
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	if c.String("workload") == "" {
		return fmt.Errorf("want --workload FILE")
	}
	w, err := load.Load(c.String("workload"))
	if err != nil {
		return err
	}
	if entries := c.StringSlice("entry"); len(entries) > 0 {
		w.Entries = entries
	}
	if c.IsSet("seed") {
		w.Seed = c.Uint64("seed")
	}
	if len(w.Entries) == 0 {
		return mn.Errorf(mn.BadSetting, "%s: [load] entries: missing, and no --entry given", w.File)
	}
	meter := load.NewMeter(ctx, w.Engines)
	r := load.Run(ctx, w, mn.NewSystemClock(), load.NewRoundRobinSender(w))
	meter.Finish(ctx, r)
	r.Label = c.String("label")
	return writeLoad(c, r)
}

func writeLoad(c *cli.Command, r *load.Report) error {
	if err := r.WriteText(c.Root().Writer); err != nil {
		return err
	}
	if path := c.String("json"); path != "" {
		if err := r.WriteJSON(path); err != nil {
			return err
		}
	}
	if path := c.String("plot"); path != "" {
		return chart.Write(path, r)
	}
	return nil
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:        "compare",
		Usage:       "compare the reports of two runs",
		ArgsUsage:   "A.json B.json",
		Description: example("mustardnotch load compare round_robin.json cost.json --plot both.png"),
		Flags:       []cli.Flag{&cli.StringFlag{Name: "plot", Usage: "plot both runs into the PNG `FILE`"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 2 {
				return fmt.Errorf("want two reports: A.json B.json")
			}
			a, err := load.ReadJSON(c.Args().Get(0))
			if err != nil {
				return err
			}
			b, err := load.ReadJSON(c.Args().Get(1))
			if err != nil {
				return err
			}
			if err := load.Compare(c.Root().Writer, a, b); err != nil {
				return err
			}
			if path := c.String("plot"); path != "" {
				return chart.Write(path, a, b)
			}
			return nil
		},
	}
}
