package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
	"mustardnotch/bench"
	"mustardnotch/load"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "run a workload against the real processes and stand-in engines",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "`DIR` with the programs", Value: "bin"},
			&cli.StringFlag{Name: "workload", Usage: "INI `FILE` of the workload", Required: true},
			&cli.StringFlag{Name: "size", Usage: "deployment: voering or birligi", Value: "voering"},
			&cli.StringFlag{Name: "router", Usage: "cost or round_robin", Value: "cost"},
			&cli.IntFlag{Name: "prefill", Usage: "`N` engines prefill and the others decode; 0 makes all mixed"},
			&cli.IntFlag{Name: "engines", Usage: "`N` engines instead of the deployment's number"},
			&cli.BoolFlag{Name: "unqueued", Usage: "send requests to engines without queueing them"},
			&cli.StringFlag{Name: "times", Usage: "multiply the rate of a customer, as in `CUSTOMER=5`"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` instead of the workload's"},
			&cli.StringFlag{Name: "label", Usage: "`NAME` of the run"},
			&cli.StringFlag{Name: "json", Usage: "write the report to `FILE`"},
		},
		Action: runBench,
	}
}

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure the cost of requests, streams and feeds, for docs/CAPACITY.md",
		Flags: []cli.Flag{&cli.StringFlag{Name: "bin", Usage: "`DIR` with the programs", Value: "bin"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			dir, err := os.MkdirTemp("", "slopes")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			return bench.MeasureSlopes(ctx, c.String("bin"), dir, os.Stdout)
		},
	}
}

func runBench(ctx context.Context, c *cli.Command) error {
	workload, err := load.Load(c.String("workload"))
	if err != nil {
		return err
	}
	if c.IsSet("seed") {
		workload.Seed = c.Uint64("seed")
	}
	if err := setRateMultiple(workload, c.String("times")); err != nil {
		return err
	}
	deployment, ok := bench.Deployments[c.String("size")]
	if !ok {
		return fmt.Errorf("size %q: want voering or birligi", c.String("size"))
	}
	if c.IsSet("engines") {
		deployment.Engines = c.Int("engines")
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	report, err := bench.Run(ctx, bench.Config{
		Bin:            c.String("bin"),
		Dir:            dir,
		Deployment:     deployment,
		Router:         c.String("router"),
		PrefillEngines: c.Int("prefill"),
		DisableQueues:  c.Bool("unqueued"),
	}, workload)
	if err != nil {
		return err
	}
	report.Label = c.String("label")
	if report.Label == "" {
		report.Label = c.String("router")
	}
	if path := c.String("json"); path != "" {
		if err := report.WriteJSON(path); err != nil {
			return err
		}
	}
	return report.WriteText(os.Stdout)
}

// setRateMultiple sets the number by which a customer's rate is multiplied, from text
// of the form CUSTOMER=NUMBER.
func setRateMultiple(workload *load.Workload, text string) error {
	if text == "" {
		return nil
	}
	name, multiple, _ := strings.Cut(text, "=")
	value, err := strconv.ParseFloat(multiple, 64)
	if err != nil || value < 0 {
		return fmt.Errorf("times %q: want CUSTOMER=NUMBER", text)
	}
	for i := range workload.Customers {
		if workload.Customers[i].ID == mn.CustomerID(name) {
			workload.Customers[i].RateMultiple = value
			return nil
		}
	}
	return fmt.Errorf("times %q: workload has no such customer", text)
}
