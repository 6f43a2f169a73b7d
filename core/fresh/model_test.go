package fresh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

// checkMultiplier multiplies the number of checks that rapid makes by default.
const checkMultiplier = 10

// process is one process of the model.
type process struct {
	mn.Member
	state   *conf.StateMachine
	monitor *Monitor
	dead    bool
}

// removal is the acknowledged removal of a key.
type removal struct {
	offset mn.Offset
	at     mn.Millis
}

// fleet is a set of processes that share one clock, a log and a network, both
// of which the test interrupts. Everything runs in one goroutine except the
// probes of a round.
type fleet struct {
	t         *rapid.T
	clock     *mn.ManualClock
	log       []mn.LogEntry
	processes []*process
	// side assigns each VM to a side of the network partition. The log is on
	// side logSide.
	side     map[mn.VMID]int
	logSide  int
	logDown  bool
	removals []removal
	runs     int
	steps    int
}

func (f *fleet) Probe(_ context.Context, to mn.Member, req ProbeRequest) (ProbeReply, error) {
	f.t.Helper()
	for _, p := range f.processes {
		if p.Addr != to.Addr {
			continue
		}
		if p.dead || f.side[p.VM] != f.side[req.VM] {
			break
		}
		return p.monitor.HandleProbe(req), nil
	}
	return ProbeReply{}, errors.New("unreachable")
}

// interruptingProber runs step once during a round of probes that sender sends,
// before the first reply or after it.
type interruptingProber struct {
	*fleet
	sender     *process
	step       func()
	afterFirst bool
	once       sync.Once
}

func (i *interruptingProber) Probe(ctx context.Context, to mn.Member, req ProbeRequest) (reply ProbeReply, err error) {
	answered := false
	i.once.Do(func() {
		i.sender.monitor.prober = i.fleet
		if i.afterFirst {
			answered = true
			reply, err = i.fleet.Probe(ctx, to, req)
		}
		i.step()
	})
	if answered {
		return reply, err
	}
	return i.fleet.Probe(ctx, to, req)
}

func (f *fleet) append(r mn.Record) mn.Offset {
	r.Version = mn.RecordVersion
	r.ID = mn.NewRecordID()
	data, err := mn.EncodeRecord(&r)
	require.NoError(f.t, err)
	off := mn.Offset(len(f.log) + 1)
	f.log = append(f.log, mn.LogEntry{Offset: off, Data: data})
	return off
}

func (f *fleet) canReachLog(p *process) bool {
	return !p.dead && !f.logDown && f.side[p.VM] == f.logSide
}

// start starts a new process on vm. It replaces the process that runs there, if
// any.
func (f *fleet) start(vm mn.VMID) *process {
	f.runs++
	p := &process{
		Member: mn.Member{
			VM: vm, Incarnation: mn.Incarnation(fmt.Sprint(f.runs)),
			Role: mn.RoleEntry, Addr: fmt.Sprintf("%s-%d", vm, f.runs),
		},
		state: conf.New(),
	}
	params := DefaultParams()
	params.ProbeTimeout = 1
	p.monitor = New(vm, p.Incarnation, p.state, f.clock, f, params)
	for i, old := range f.processes {
		if old.VM == vm {
			old.dead = true
			f.processes[i] = p
			return p
		}
	}
	f.processes = append(f.processes, p)
	return p
}

func (f *fleet) join(p *process) {
	if f.canReachLog(p) {
		f.append(mn.Record{Join: &p.Member})
	}
}

func (f *fleet) readLog(p *process) {
	if !f.canReachLog(p) {
		return
	}
	sentAt := f.clock.Now()
	require.NoError(f.t, p.state.Apply(f.log))
	p.monitor.ObserveHead(sentAt, mn.Offset(len(f.log)))
}

func (f *fleet) relay(from, to *process) {
	if from.dead || to.dead || f.side[from.VM] != f.side[to.VM] {
		return
	}
	if from.state.View().Offset == 0 {
		return
	}
	entries, ok := from.state.RecordsSince(to.state.View().Offset+1, 1000)
	if !ok {
		to.state.Restore(from.state.Snapshot())
		return
	}
	require.NoError(f.t, to.state.Apply(entries))
}

// withdraw appends the removal of a key, and records it as acknowledged if p
// can establish it.
func (f *fleet) withdraw(p *process) {
	if !f.canReachLog(p) {
		return
	}
	off := f.append(mn.Record{Crash: &mn.CrashRecord{Fingerprint: "stands for a withdrawn key"}})
	f.readLog(p)
	f.probeAll(p)
	if p.monitor.Established() >= off {
		f.removals = append(f.removals, removal{off, f.clock.Now()})
	}
}

func (f *fleet) probeAll(p *process) {
	if !p.dead {
		p.monitor.probeAll(f.t.Context())
	}
}

func (f *fleet) pick(name string) *process {
	return rapid.SampledFrom(f.processes).Draw(f.t, name)
}

// drawStep draws the next step and returns the function that executes it.
func (f *fleet) drawStep() func() {
	p, q := f.pick("process"), f.pick("other process")
	switch rapid.IntRange(0, 12).Draw(f.t, "step") {
	case 0, 1:
		return func() { f.readLog(p) }
	case 2:
		return func() { f.probeAll(p) }
	case 3:
		step, afterFirst := f.drawStep(), rapid.Bool().Draw(f.t, "after first")
		return func() { f.interruptProbe(p, step, afterFirst, func() { f.probeAll(p) }) }
	case 4:
		step, afterFirst := f.drawStep(), rapid.Bool().Draw(f.t, "after first")
		return func() {
			f.interruptProbe(p, step, afterFirst, func() { p.monitor.probePeers(f.t.Context(), []mn.Member{q.Member}) })
		}
	case 5:
		return func() { f.relay(q, p) }
	case 6:
		return func() { f.withdraw(p) }
	case 7:
		duration := rapid.SampledFrom([]mn.Millis{100, 1000, 3000}).Draw(f.t, "duration")
		return func() { f.clock.Advance(duration) }
	case 8:
		side := rapid.IntRange(0, 1).Draw(f.t, "side")
		return func() { f.side[p.VM] = side }
	case 9:
		side := rapid.IntRange(0, 1).Draw(f.t, "log side")
		down := rapid.Bool().Draw(f.t, "log down")
		return func() { f.logSide, f.logDown = side, down }
	case 10:
		vm := mn.VMID(fmt.Sprintf("vm%d", rapid.IntRange(0, 6).Draw(f.t, "vm")))
		return func() { f.start(vm) }
	case 11:
		return func() { f.join(p) }
	default:
		return func() { f.stop(p) }
	}
}

// interruptProbe calls probe, and runs step while p waits for the replies.
func (f *fleet) interruptProbe(p *process, step func(), afterFirst bool, probe func()) {
	if p.dead {
		return
	}
	p.monitor.prober = &interruptingProber{fleet: f, sender: p, step: step, afterFirst: afterFirst}
	probe()
	p.monitor.prober = f
}

// stop stops p for good. p is then removed from the roster if the log is up.
func (f *fleet) stop(p *process) {
	if len(f.processes) < 3 {
		return
	}
	p.dead = true
	if !f.logDown {
		f.append(mn.Record{Leave: &mn.Departure{VM: p.VM, Incarnation: p.Incarnation, Done: true}})
	}
}

// check fails the test if a process has evidence from after an acknowledged
// removal that it has not applied, or is current MaxStaleness after the removal
// was acknowledged.
func (f *fleet) check() {
	now := f.clock.Now()
	for _, p := range f.processes {
		if p.dead {
			continue
		}
		applied := p.state.View().Offset
		for _, r := range f.removals {
			if applied >= r.offset {
				continue
			}
			if p.monitor.hasEvidence && p.monitor.evidenceAt > r.at {
				f.t.Fatalf("%s has evidence of %d with offset %d; offset %d was acknowledged at %d",
					p.Addr, p.monitor.evidenceAt, applied, r.offset, r.at)
			}
			if now >= r.at+DefaultParams().MaxStaleness {
				require.Error(f.t, p.monitor.CheckCurrent(), "%s is current at offset %d, %d was acknowledged", p.Addr, applied, r.offset)
			}
		}
	}
}

// TestNoProcessIsCurrentPastAnAcknowledgedRemoval guards against a process that
// acts on a removed key for longer than MaxStaleness after the removal was
// acknowledged. It draws network partitions, log outages, pauses in the middle
// of a round, joins, departures and restarts, and removes keys meanwhile.
func TestNoProcessIsCurrentPastAnAcknowledgedRemoval(t *testing.T) {
	acknowledged, steps := 0, 0
	for range checkMultiplier {
		rapid.Check(t, func(t *rapid.T) {
			f := runModel(t)
			acknowledged += len(f.removals)
			steps += f.steps
		})
	}
	t.Logf("%d removals acknowledged in %d steps", acknowledged, steps)
}

func runModel(t *rapid.T) *fleet {
	f := &fleet{t: t, clock: mn.NewManualClock(10_000), side: map[mn.VMID]int{}}
	for i := range rapid.IntRange(2, 5).Draw(t, "processes") {
		p := f.start(mn.VMID(fmt.Sprintf("vm%d", i)))
		f.join(p)
		f.readLog(p)
	}
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		f.drawStep()()
		f.check()
		f.steps++
	}
	return f
}
