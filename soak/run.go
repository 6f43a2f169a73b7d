package soak

import (
	"context"
	"fmt"
	"io"
	"sort"

	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
)

// Options sets one run.
type Options struct {
	// Bin is the directory with the programs, Dir takes settings and logs.
	Bin, Dir string
	Seed     int64
	Fronts   int
	Callers  int
	// FaultDuration is how long faults are made.
	FaultDuration mn.Millis
}

// calmSpan is how long callers go on after the last fault, to see whether service
// is back.
const calmSpan = recoverBound + 3*mn.Second

// Run makes faults by the seed, checks what was seen, and prints a line for each
// broken promise and one for the run. It returns what was broken.
func Run(ctx context.Context, o Options, w io.Writer) ([]Violation, error) {
	c, err := newCity(o)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	calls, end := context.WithCancel(ctx)
	defer end()
	g, calls := errgroup.WithContext(calls)
	g.Go(func() error { return c.callers(calls) })
	g.Go(func() error { return c.beats(calls) })
	g.Go(func() error {
		defer end()
		faulty, stop := context.WithTimeout(calls, o.FaultDuration.Duration())
		defer stop()
		if err := c.trouble(faulty); err != nil {
			return err
		}
		_ = c.clock.Sleep(calls, calmSpan) // The group ends next either way.
		return nil
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.DutyCalls = c.duties.Seen()
	broken := c.history.Check()
	for _, b := range broken {
		fmt.Fprintf(w, "seed %d broken %s: %s\n", o.Seed, b.Rule, b.Detail)
	}
	fmt.Fprintln(w, c.summary(len(broken)))
	return broken, nil
}

// summary describes a run in one line.
func (c *city) summary(broken int) string {
	statuses := map[int]int{}
	for _, a := range c.history.Requests {
		statuses[a.Status]++
	}
	var codes []int
	for s := range statuses {
		codes = append(codes, s)
	}
	sort.Ints(codes)
	text := ""
	for _, s := range codes {
		text += fmt.Sprintf(" %d:%d", s, statuses[s])
	}
	return fmt.Sprintf("seed %d: %d broken, %d faults, %d requests, %d runs, %d reports, by status%s",
		c.o.Seed, broken, len(c.history.Faults), len(c.history.Requests), len(c.history.Runs), len(c.history.DutyCalls), text)
}
