package soak

import (
	"context"
	"fmt"
	"io"
	"sort"

	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
)

// Options configures one run.
type Options struct {
	// Bin is the directory with the programs; settings and logs are written to Dir.
	Bin, Dir string
	Seed     int64
	Fronts   int
	Callers  int
	// FaultDuration is how long faults are injected.
	FaultDuration mn.Millis
	// Faults restricts the faults to those whose names contain one of these texts.
	Faults []string
}

// recoveryDuration is how long callers continue after the last fault, to check
// that service has recovered.
const recoveryDuration = recoverBound + 3*mn.Second

// Run starts a cluster, injects faults derived from the seed and checks the
// history. It prints a line for each violation and a summary of the run, and
// returns the violations.
func Run(ctx context.Context, o Options, w io.Writer) ([]Violation, error) {
	if len(o.allowedFaults()) == 0 {
		return nil, fmt.Errorf("no fault has one of %q in its name", o.Faults)
	}
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
		_ = c.clock.Sleep(callCtx, recoveryDuration) // The calls stop next in either case.
		return nil
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	for _, f := range c.fronts {
		c.noteMemory(f)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.DutyCalls = c.duties.Seen()
	violations := c.history.Check()
	for _, v := range violations {
		fmt.Fprintf(w, "seed %d broken %s: %s\n", o.Seed, v.Rule, v.Detail)
	}
	fmt.Fprintln(w, c.summary(len(violations)))
	return violations, nil
}

// summary describes a run in one line.
func (c *cluster) summary(violations int) string {
	statuses := map[int]int{}
	for _, r := range c.history.Requests {
		statuses[r.Status]++
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
	peak := int64(0)
	for _, bytes := range c.history.PeakMemory {
		peak = max(peak, bytes)
	}
	return fmt.Sprintf("seed %d: %d broken, %d faults, %d requests, %d runs, %d reports, front with most memory %d MiB, by status%s",
		c.options.Seed, violations, len(c.history.Faults), len(c.history.Requests), len(c.history.Runs), len(c.history.DutyCalls), peak>>20, text)
}
