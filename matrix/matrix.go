// Package matrix runs the system as real processes and injects every fault at every
// step of a request, a change, an order and a report. After each combination, a cell
// of the matrix, it checks that no rule was violated.
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

// maxOrderDelay is the maximum time until engines have loaded a declared version. It
// counts from the start of the check, after traffic has ended.
const maxOrderDelay = 20 * mn.Second

// settleDuration is the time for which traffic continues after faults are healed.
const settleDuration = 1500 * mn.Millisecond

// Cell is one step and the faults that are injected at it.
type Cell struct {
	Step   Step
	Faults []Fault
	Seed   uint64
}

// Name returns the names of the step and the faults, such as
// "booking_during+log_down".
func (c Cell) Name() string {
	parts := []string{c.Step.Name}
	for _, f := range c.Faults {
		parts = append(parts, f.Name)
	}
	return strings.Join(parts, "+")
}

// Singles returns a cell for each combination of a step and a fault.
func Singles(seed uint64) []Cell {
	var cells []Cell
	for _, s := range Steps() {
		for _, f := range Faults() {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}, Seed: seed})
		}
	}
	return cells
}

// Pairs returns n cells with two faults each, chosen at random by seed.
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

// Find returns the cell with the given name.
func Find(name string, seed uint64) (Cell, error) {
	parts := strings.Split(name, "+")
	cell := Cell{Seed: seed}
	for _, s := range Steps() {
		if s.Name == parts[0] {
			cell.Step = s
		}
	}
	for _, p := range parts[1:] {
		for _, f := range Faults() {
			if f.Name == p {
				cell.Faults = append(cell.Faults, f)
			}
		}
	}
	if cell.Name() != name {
		return cell, fmt.Errorf("cell %q: want STEP+FAULT or STEP+FAULT+FAULT with names of existing steps and faults", name)
	}
	return cell, nil
}

// Result is the result of one cell.
type Result struct {
	Cell Cell
	// Violations describes the rules that were violated.
	Violations []string
	// Counts is the number of requests by kind and outcome.
	Counts map[string]int
}

// String returns one line for the cell. It includes the command that repeats the cell
// if a rule was violated.
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

// Run runs the cells with the programs in bin, up to parallel cells at a time, and
// prints a line for each to out. It returns the results of cells that violated a rule.
// Its error is that of a cell that could not be run.
func Run(ctx context.Context, bin string, cells []Cell, parallel int, out io.Writer) ([]Result, error) {
	var mu sync.Mutex
	var violating []Result
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
			result, err := RunCell(ctx, bin, c)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Fprintf(out, "not run cell=%s seed=%d error=%q\n", c.Name(), c.Seed, err)
				runErr = err
				return
			}
			fmt.Fprintln(out, result)
			if len(result.Violations) > 0 {
				violating = append(violating, result)
			}
		})
	}
	wg.Wait()
	return violating, runErr
}

// RunCell runs one cell in a cluster of its own. It returns an error if the cell could
// not be run; violated rules are in the result.
func RunCell(ctx context.Context, bin string, cell Cell) (Result, error) {
	dir, err := os.MkdirTemp("", "mustardnotch-matrix")
	if err != nil {
		return Result{}, err
	}
	s, err := newScenario(ctx, bin, dir, cell.Name(), cell.Seed)
	if err != nil {
		return Result{}, err
	}
	defer s.cluster.Close()
	s.chooseAgent(cell.Step.Name)
	s.plannedOnly = true
	for _, f := range cell.Faults {
		s.plannedOnly = s.plannedOnly && f.Planned
	}
	if err := s.run(cell); err != nil {
		return Result{}, err
	}
	s.check()
	if len(s.violations) == 0 {
		os.RemoveAll(dir)
	} else {
		s.violations = append(s.violations, "output is in "+dir)
	}
	return Result{Cell: cell, Violations: s.violations, Counts: s.counts}, nil
}

// run runs the step with other traffic and injects the faults at the step's point.
// Traffic continues for settleDuration after the faults are healed.
func (s *scenario) run(cell Cell) error {
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	s.startTraffic(ctx)
	injected := make(chan error, 1)
	var once sync.Once
	inject := func() { once.Do(func() { go func() { injected <- s.injectFaults(cell.Faults) }() }) }
	err := cell.Step.run(s, inject)
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

// injectFaults injects the faults, waits for the longest of their durations, and heals
// them in reverse order.
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
			return fmt.Errorf("heal %s: %w", faults[i].Name, err)
		}
	}
	return nil
}
