package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mustardnotch/matrix"
)

func matrixCommand() *cli.Command {
	return &cli.Command{
		Name:  "matrix",
		Usage: "inject every fault at every step into a cluster of real processes and check the rules",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "`DIR` with the programs", Value: "bin"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the cells", Value: 1},
			&cli.IntFlag{Name: "width", Usage: "run `N` cells at once", Value: 2},
			&cli.IntFlag{Name: "pairs", Usage: "run `N` cells of two faults instead of all single faults"},
			&cli.StringFlag{Name: "match", Usage: "only cells whose names match `PATTERN`"},
			&cli.StringFlag{Name: "cell", Usage: "only the cell `STEP+FAULT`, or STEP+FAULT+FAULT"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cells, err := selectCells(c)
			if err != nil {
				return err
			}
			violating, err := matrix.Run(ctx, c.String("bin"), cells, c.Int("width"), os.Stdout)
			fmt.Printf("cells=%d broken=%d\n", len(cells), len(violating))
			if err == nil && len(violating) > 0 {
				err = fmt.Errorf("%d of %d cells violated a rule", len(violating), len(cells))
			}
			return err
		},
	}
}

func selectCells(c *cli.Command) ([]matrix.Cell, error) {
	seed := c.Uint64("seed")
	if name := c.String("cell"); name != "" {
		cell, err := matrix.Find(name, seed)
		return []matrix.Cell{cell}, err
	}
	cells := matrix.Singles(seed)
	if n := c.Int("pairs"); n > 0 {
		cells = matrix.Pairs(seed, n)
	}
	return matrix.Select(cells, c.String("match"))
}
