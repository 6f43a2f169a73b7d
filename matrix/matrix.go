// Package matrix drives the system as real processes through every fault at
// every step of a request, a change, an order and a report, and checks after
// each cell that no rule was broken.
package matrix

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"regexp"
	"sort"
	"strings"
	"sync"

	mn "mustardnotch"
)

// maxOrderDelay is how long engines may take to follow a declared version.
const maxOrderDelay = 20 * mn.Second

// settleDuration is how long traffic goes on after faults are mended.
const settleDuration = 1500 * mn.Millisecond

// Cell is one step with the faults that strike at it.
type Cell struct {
	Step   Step
	Faults []Fault
	Seed   uint64
}

// Name returns the step and the faults, such as "booking_during+log_down".
func (c Cell) Name() string {
	parts := []string{c.Step.Name}
	for _, f := range c.Faults {
		parts = append(parts, f.Name)
	}
	return strings.Join(parts, "+")
}

// Singles returns a cell for each step and fault.
func Singles(seed uint64) []Cell {
	var cells []Cell
	for _, s := range Steps() {
		for _, f := range Faults() {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}, Seed: seed})
		}
	}
	return cells
}

// Pairs returns n cells of two faults each, drawn by seed.
func Pairs(seed uint64, n int) []Cell {
	rng := rand.New(rand.NewPCG(seed, 2))
	steps, faults := Steps(), Faults()
	var cells []Cell
	for range n {
		a := rng.IntN(len(faults))
		b := (a + 1 + rng.IntN(len(faults)-1)) % len(faults)
		cells = append(cells, Cell{Step: steps[rng.IntN(len(steps))], Faults: []Fault{faults[a], faults[b]}, Seed: rng.Uint64() % 1_000_000})
	}
	return cells
}

// Select returns the cells whose names match the pattern.
func Select(cells []Cell, pattern string) ([]Cell, error) {
	re, err := regexp.Compile(pattern)
	if err != nil {
		return nil, fmt.Errorf("pattern %q: %w", pattern, err)
	}
	var chosen []Cell
	for _, c := range cells {
		if re.MatchString(c.Name()) {
			chosen = append(chosen, c)
		}
	}
	return chosen, nil
}

// Find returns the cell of the given name.
func Find(name string, seed uint64) (Cell, error) {
	parts := strings.Split(name, "+")
	c := Cell{Seed: seed}
	for _, s := range Steps() {
		if s.Name == parts[0] {
			c.Step = s
		}
	}
	for _, p := range parts[1:] {
		for _, f := range Faults() {
			if f.Name == p {
				c.Faults = append(c.Faults, f)
			}
		}
	}
	if c.Name() != name {
		return c, fmt.Errorf("cell %q: want STEP+FAULT or STEP+FAULT+FAULT", name)
	}
	return c, nil
}

// Result is what came of one cell.
type Result struct {
	Cell       Cell
	Violations []string
	Counts     map[string]int
}

// String returns one line for the cell, with the command that repeats it if a
// rule was broken.
func (r Result) String() string {
	var counts []string
	for k, n := range r.Counts {
		counts = append(counts, fmt.Sprintf("%q=%d", k, n))
	}
	sort.Strings(counts)
	if len(r.Violations) == 0 {
		return fmt.Sprintf("held cell=%s seed=%d %s", r.Cell.Name(), r.Cell.Seed, strings.Join(counts, " "))
	}
	return fmt.Sprintf("BROKEN cell=%s seed=%d %s rules=%q repeat=\"bin/fakes matrix --cell %s --seed %d\"",
		r.Cell.Name(), r.Cell.Seed, strings.Join(counts, " "), strings.Join(r.Violations, "; "), r.Cell.Name(), r.Cell.Seed)
}

// Run runs the cells, width at once, with the programs in bin, and prints a
// line for each to out. It returns the results of cells that broke a rule.
func Run(ctx context.Context, bin string, cells []Cell, parallel int, out io.Writer) ([]Result, error) {
	var mu sync.Mutex
	var broken []Result
	var runErr error
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, c := range cells {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r, err := RunCell(ctx, bin, c)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Fprintf(out, "not run cell=%s seed=%d error=%q\n", c.Name(), c.Seed, err)
				runErr = err
				return
			}
			fmt.Fprintln(out, r)
			if len(r.Violations) > 0 {
				broken = append(broken, r)
			}
		})
	}
	wg.Wait()
	return broken, runErr
}

// RunCell runs one cell in a cluster of its own. Its error means that the cell
// could not be run; broken rules are in the result.
func RunCell(ctx context.Context, bin string, c Cell) (Result, error) {
	dir, err := os.MkdirTemp("", "mustardnotch-matrix")
	if err != nil {
		return Result{}, err
	}
	s, err := newScenario(ctx, bin, dir, c.Name(), c.Seed)
	if err != nil {
		return Result{}, err
	}
	defer s.cluster.Close()
	s.chooseAgent(c.Step.Name)
	s.plannedOnly = true
	for _, f := range c.Faults {
		s.plannedOnly = s.plannedOnly && f.Planned
	}
	if err := s.run(c); err != nil {
		return Result{}, err
	}
	s.check()
	if len(s.violations) == 0 {
		os.RemoveAll(dir)
	} else {
		s.violations = append(s.violations, "output is in "+dir)
	}
	return Result{Cell: c, Violations: s.violations, Counts: s.counts}, nil
}

// run runs the step amid traffic, with the faults striking at its point, then
// mends the faults and lets traffic go on for a while.
func (s *scenario) run(c Cell) error {
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	s.startTraffic(ctx)
	injected := make(chan error, 1)
	var once sync.Once
	inject := func() { once.Do(func() { go func() { injected <- s.injectFaults(c.Faults) }() }) }
	err := c.Step.run(s, inject)
	inject()
	if faultErr := <-injected; err == nil {
		err = faultErr
	}
	if err == nil {
		err = s.clock.Sleep(ctx, settleDuration)
	}
	stop()
	s.wg.Wait()
	return err
}

// injectFaults injects the faults, waits for the longest, and mends them.
func (s *scenario) injectFaults(faults []Fault) error {
	var duration mn.Millis
	for _, f := range faults {
		if err := f.inject(s); err != nil {
			return fmt.Errorf("inject %s: %w", f.Name, err)
		}
		duration = max(duration, f.duration)
	}
	if err := s.clock.Sleep(s.ctx, duration); err != nil {
		return err
	}
	for i := len(faults) - 1; i >= 0; i-- {
		if faults[i].heal == nil {
			continue
		}
		if err := faults[i].heal(s); err != nil {
			return fmt.Errorf("mend %s: %w", faults[i].Name, err)
		}
	}
	return nil
}
