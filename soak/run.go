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

// recoveryDuration is how long callers go on after the last fault, to see whether service
// is back.
const recoveryDuration = recoverBound + 3*mn.Second

// Run makes faults by the seed, checks what was seen, and prints a line for each
// broken promise and one for the run. It returns what was broken.
func Run(ctx context.Context, o Options, w io.Writer) ([]Violation, error) {
	c, err := newCluster(o)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	g, callCtx := errgroup.WithContext(callCtx)
	g.Go(func() error { return c.runCallers(callCtx) })
	g.Go(func() error { return c.runHeartbeats(callCtx) })
	g.Go(func() error {
		defer stopCalls()
		faultCtx, stopFaults := context.WithTimeout(callCtx, o.FaultDuration.Duration())
		defer stopFaults()
		if err := c.injectFaults(faultCtx); err != nil {
			return err
		}
		_ = c.clock.Sleep(callCtx, recoveryDuration) // The group ends next either way.
		return nil
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.DutyCalls = c.duties.Seen()
	violations := c.history.Check()
	for _, b := range violations {
		fmt.Fprintf(w, "seed %d broken %s: %s\n", o.Seed, b.Rule, b.Detail)
	}
	fmt.Fprintln(w, c.summary(len(violations)))
	return violations, nil
}

// summary describes a run in one line.
func (c *cluster) summary(violations int) string {
	statuses := map[int]int{}
	for _, a := range c.history.Requests {
		statuses[a.Status]++
	}
	var sorted []int
	for s := range statuses {
		sorted = append(sorted, s)
	}
	sort.Ints(sorted)
	text := ""
	for _, s := range sorted {
		text += fmt.Sprintf(" %d:%d", s, statuses[s])
	}
	return fmt.Sprintf("seed %d: %d broken, %d faults, %d requests, %d runs, %d reports, by status%s",
		c.options.Seed, violations, len(c.history.Faults), len(c.history.Requests), len(c.history.Runs), len(c.history.DutyCalls), text)
}
