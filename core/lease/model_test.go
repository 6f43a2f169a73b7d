package lease_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/lease"
)

// faults says how often, in permille, and how badly a world misbehaves.
type faults struct {
	seed                           uint64
	procs                          int
	pause, late, lost, twice, down int
}

// simulation is one log and several electors on clocks of different rates. It runs
// in a synctest bubble, so every interleaving follows from the seed.
type simulation struct {
	faults
	rnd        *rand.Rand
	mu         sync.Mutex
	log        []mn.LogEntry
	start      time.Time
	faultsOver bool
	downUntil  time.Time
	procs      []*process
	tasks      sync.WaitGroup
}

// process is one process: its clock, its reader of the log and its elector.
type process struct {
	sim         *simulation
	state       *conf.StateMachine
	rate        float64
	mu          sync.Mutex
	pausedUntil time.Time
	results     map[mn.RecordID]conf.ApplyResult
	elector     *lease.Elector
}

func (w *simulation) chance(permille int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.faultsOver && w.rnd.IntN(1000) < permille
}

func (w *simulation) randomUpTo(d mn.Millis) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rnd.Int64N(int64(d.Duration())))
}

// awaitLogUp waits until the log is up.
func (w *simulation) awaitLogUp() {
	w.mu.Lock()
	downTo := w.downUntil
	w.mu.Unlock()
	time.Sleep(time.Until(downTo))
}

func (w *simulation) entries() []mn.LogEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log
}

// appendWhenUp appends r once the log is up.
func (w *simulation) appendWhenUp(r *mn.Record) {
	w.awaitLogUp()
	data, _ := mn.EncodeRecord(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, mn.LogEntry{Offset: mn.Offset(len(w.log) + 1), Data: data})
}

// unpausedNow reads the clock without any pause.
func (p *process) unpausedNow() mn.Millis {
	return mn.Millis(float64(time.Since(p.sim.start).Milliseconds()) * p.rate)
}

// maybePause is a point at which the process may be paused.
func (p *process) maybePause() {
	paused := p.sim.chance(p.sim.pause)
	p.mu.Lock()
	if paused {
		p.pausedUntil = time.Now().Add(p.sim.randomUpTo(8 * mn.Second))
	}
	until := p.pausedUntil
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (p *process) Now() mn.Millis {
	now := p.unpausedNow()
	p.maybePause()
	return now
}

func (p *process) Wall() mn.Millis { return p.unpausedNow() }

func (p *process) Sleep(ctx context.Context, span mn.Millis) error {
	t := time.NewTimer(time.Duration(float64(span.Duration()) / p.rate))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	p.maybePause()
	return ctx.Err()
}

func (p *process) View() *mn.View {
	v := p.state.View()
	p.maybePause()
	return v
}

func (p *process) Changed() <-chan struct{} { return p.state.Changed() }

// Write lets r land late, twice or never, and waits until it was read back.
func (p *process) Write(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	p.maybePause()
	w := p.sim
	if !w.chance(w.lost) {
		w.tasks.Go(func() {
			time.Sleep(w.randomUpTo(20))
			if w.chance(w.late) {
				time.Sleep(w.randomUpTo(9 * mn.Second))
			}
			w.appendWhenUp(r)
			if w.chance(w.twice) {
				time.Sleep(w.randomUpTo(9 * mn.Second))
				w.appendWhenUp(r)
			}
		})
	}
	for {
		changed := p.state.Changed()
		p.mu.Lock()
		v, ok := p.results[r.ID]
		p.mu.Unlock()
		if ok {
			p.maybePause()
			if v.Err != nil {
				return v.Offset, v.Err
			}
			return v.Offset, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-changed:
		}
	}
}

// followLog folds what is in the log, with a lag.
func (p *process) followLog(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Millisecond + p.sim.randomUpTo(20))
		if p.sim.chance(p.sim.late) {
			time.Sleep(p.sim.randomUpTo(4 * mn.Second))
		}
		p.maybePause()
		p.sim.awaitLogUp()
		_ = p.state.Apply(p.sim.entries())
	}
}

func (w *simulation) newProcess(i int) *process {
	p := &process{sim: w, state: conf.New(), rate: 0.98 + 0.04*w.rnd.Float64(), results: map[mn.RecordID]conf.ApplyResult{}}
	p.state.OnRecord(func(_ mn.Offset, r *mn.Record, v conf.ApplyResult) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if _, ok := p.results[r.ID]; !ok {
			p.results[r.ID] = v
		}
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	p.elector = lease.New(mn.VMID(fmt.Sprint("vm", i)), mn.NewIncarnation(), lease.DefaultSettings(), p, p, p, log)
	return p
}

// holders returns the terms of those whose own clock says that they hold the
// lease at this very instant.
func (w *simulation) holders() []mn.Term {
	var terms []mn.Term
	for _, p := range w.procs {
		if term, ok := p.elector.HoldsAt(p.unpausedNow()); ok {
			terms = append(terms, term)
		}
	}
	return terms
}

// updateFaults ends the faults after span, and takes the log down now and then.
func (w *simulation) updateFaults(t, span int) {
	goesDown := t%1000 == 0 && w.chance(w.down)
	length := w.randomUpTo(8 * mn.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultsOver = t >= span
	if goesDown {
		w.downUntil = time.Now().Add(length)
	}
}

// run returns what went wrong, and for how many instants there was a holder.
func (w *simulation) run() (held int, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer w.tasks.Wait()
	defer cancel()
	w.rnd = rand.New(rand.NewPCG(w.seed, 1))
	w.start = time.Now()
	for i := range w.faults.procs {
		w.procs = append(w.procs, w.newProcess(i))
	}
	for _, p := range w.procs {
		w.tasks.Go(func() { p.followLog(ctx) })
		w.tasks.Go(func() { _ = p.elector.Run(ctx) })
	}
	var last mn.Term
	const span, calm = 30_000, 20_000
	for t := range span + calm {
		w.updateFaults(t, span)
		time.Sleep(time.Millisecond)
		terms := w.holders()
		if len(terms) > 1 {
			return held, fmt.Errorf("at %d ms the terms %v were held at once", t, terms)
		}
		if len(terms) == 1 {
			held++
			if terms[0] < last {
				return held, fmt.Errorf("at %d ms term %d was held after term %d", t, terms[0], last)
			}
			last = terms[0]
		}
	}
	if len(w.holders()) == 0 {
		return held, fmt.Errorf("nobody held the lease %d ms after the last fault", calm)
	}
	return held, nil
}

func simulate(t *testing.T, f faults) (held int, err error) {
	synctest.Test(t, func(*testing.T) {
		w := &simulation{faults: f}
		held, err = w.run()
	})
	return held, err
}

// Never do two processes hold the lease at one instant, whatever is paused,
// late, lost, repeated or down; and one holds it once the faults end.
func TestModelNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		level := rapid.SampledFrom([]int{0, 2, 20, 100, 300})
		f := faults{
			seed:  rapid.Uint64().Draw(rt, "seed"),
			procs: rapid.IntRange(2, 4).Draw(rt, "procs"),
			pause: rapid.SampledFrom([]int{0, 2, 10, 40}).Draw(rt, "pause"),
			late:  level.Draw(rt, "late"),
			lost:  level.Draw(rt, "lost"),
			twice: level.Draw(rt, "twice"),
			down:  rapid.SampledFrom([]int{0, 20, 100}).Draw(rt, "down"),
		}
		if _, err := simulate(t, f); err != nil {
			rt.Fatalf("%+v: %v", f, err)
		}
	})
}

// Without faults the lease is held almost all the time, by one term.
func TestModelCalm(t *testing.T) {
	held, err := simulate(t, faults{seed: 1, procs: 4})
	require.NoError(t, err)
	require.Greater(t, held, 49_000)
}
