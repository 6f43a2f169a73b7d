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

// faults sets how often, in permille, each fault occurs in a simulation of
// procs processes.
type faults struct {
	seed                           uint64
	procs                          int
	pause, late, lost, twice, down int
}

// simulation is one log and several electors whose clocks run at different
// rates. It runs in a synctest bubble, so every interleaving follows from the
// seed.
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

// process is one process with its clock, its reader of the log and its elector.
type process struct {
	sim         *simulation
	state       *conf.StateMachine
	rate        float64
	mu          sync.Mutex
	pausedUntil time.Time
	results     map[mn.RecordID]conf.ApplyResult
	elector     *lease.Elector
}

func (s *simulation) chance(permille int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faultsOver && s.rnd.IntN(1000) < permille
}

func (s *simulation) randomUpTo(d mn.Millis) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rnd.Int64N(int64(d.Duration())))
}

// awaitLogUp waits until the log is up.
func (s *simulation) awaitLogUp() {
	s.mu.Lock()
	downUntil := s.downUntil
	s.mu.Unlock()
	time.Sleep(time.Until(downUntil))
}

func (s *simulation) entries() []mn.LogEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log
}

// appendWhenUp appends r once the log is up.
func (s *simulation) appendWhenUp(r *mn.Record) {
	s.awaitLogUp()
	data, _ := mn.EncodeRecord(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, mn.LogEntry{Offset: mn.Offset(len(s.log) + 1), Data: data})
}

// unpausedNow reads the clock without a pause.
func (p *process) unpausedNow() mn.Millis {
	return mn.Millis(float64(time.Since(p.sim.start).Milliseconds()) * p.rate)
}

// maybePause marks a point at which the process may be paused, and waits while
// it is.
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

func (p *process) Sleep(ctx context.Context, duration mn.Millis) error {
	t := time.NewTimer(time.Duration(float64(duration.Duration()) / p.rate))
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

// Write appends r late, twice or never, and waits until it has been read back.
func (p *process) Write(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	p.maybePause()
	s := p.sim
	if !s.chance(s.lost) {
		s.tasks.Go(func() {
			time.Sleep(s.randomUpTo(20))
			if s.chance(s.late) {
				time.Sleep(s.randomUpTo(9 * mn.Second))
			}
			s.appendWhenUp(r)
			if s.chance(s.twice) {
				time.Sleep(s.randomUpTo(9 * mn.Second))
				s.appendWhenUp(r)
			}
		})
	}
	for {
		changed := p.state.Changed()
		p.mu.Lock()
		res, ok := p.results[r.ID]
		p.mu.Unlock()
		if ok {
			p.maybePause()
			if res.Err != nil {
				return res.Offset, res.Err
			}
			return res.Offset, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-changed:
		}
	}
}

// followLog applies the records of the log, with a lag.
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

func (s *simulation) newProcess(i int) *process {
	p := &process{sim: s, state: conf.New(), rate: 0.98 + 0.04*s.rnd.Float64(), results: map[mn.RecordID]conf.ApplyResult{}}
	p.state.OnRecord(func(_ mn.Offset, r *mn.Record, res conf.ApplyResult) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if _, ok := p.results[r.ID]; !ok {
			p.results[r.ID] = res
		}
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	p.elector = lease.New(mn.VMID(fmt.Sprint("vm", i)), mn.NewIncarnation(), lease.DefaultSettings(), p, p, p, log)
	return p
}

// holders returns the terms of all processes that hold the lease at this
// instant according to their own clocks.
func (s *simulation) holders() []mn.Term {
	var terms []mn.Term
	for _, p := range s.procs {
		if term, ok := p.elector.HoldsAt(p.unpausedNow()); ok {
			terms = append(terms, term)
		}
	}
	return terms
}

// updateFaults ends the faults at faultDuration, and takes the log down
// occasionally until then.
func (s *simulation) updateFaults(t, faultDuration int) {
	goesDown := t%1000 == 0 && s.chance(s.down)
	length := s.randomUpTo(8 * mn.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOver = t >= faultDuration
	if goesDown {
		s.downUntil = time.Now().Add(length)
	}
}

// run returns the first violation, and the number of milliseconds for which a
// process held the lease.
func (s *simulation) run() (held int, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer s.tasks.Wait()
	defer cancel()
	s.rnd = rand.New(rand.NewPCG(s.seed, 1))
	s.start = time.Now()
	for i := range s.faults.procs {
		s.procs = append(s.procs, s.newProcess(i))
	}
	for _, p := range s.procs {
		s.tasks.Go(func() { p.followLog(ctx) })
		s.tasks.Go(func() { _ = p.elector.Run(ctx) })
	}
	var last mn.Term
	const faultDuration, calmDuration = 30_000, 20_000
	for t := range faultDuration + calmDuration {
		s.updateFaults(t, faultDuration)
		time.Sleep(time.Millisecond)
		terms := s.holders()
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
	if len(s.holders()) == 0 {
		return held, fmt.Errorf("nobody held the lease %d ms after the last fault", calmDuration)
	}
	return held, nil
}

func simulate(t *testing.T, f faults) (held int, err error) {
	synctest.Test(t, func(*testing.T) {
		s := &simulation{faults: f}
		held, err = s.run()
	})
	return held, err
}

// TestModelNeverTwoHolders guards against two processes that hold the lease at
// the same instant. Processes are paused, records are late, lost or repeated,
// and the log is down at times. Once the faults end, one process must hold the
// lease.
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

// TestModelCalm checks that without faults the lease is held for more than 49
// of 50 seconds.
func TestModelCalm(t *testing.T) {
	held, err := simulate(t, faults{seed: 1, procs: 4})
	require.NoError(t, err)
	require.Greater(t, held, 49_000)
}
