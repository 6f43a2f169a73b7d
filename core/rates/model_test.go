package rates

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

// singleBucket is a reference token bucket that starts full. What it admits never
// exceeds rate and burst in any window.
type singleBucket struct {
	rate, burst, level float64
	at                 mn.Millis
}

func newSingleBucket(rate, burst float64, now mn.Millis) *singleBucket {
	return &singleBucket{rate: rate, burst: burst, level: burst, at: now}
}

func (b *singleBucket) accrue(now mn.Millis) {
	b.level = min(b.burst, b.level+b.rate/float64(mn.Second)*float64(now-b.at))
	b.at = now
}

func (b *singleBucket) take(now mn.Millis) bool {
	b.accrue(now)
	if b.level < 1-1e-6 {
		return false
	}
	b.level--
	return true
}

// cluster is a set of processes that share one clock. A process is current if it
// isn't partitioned and has read at least up to the settled offset.
type cluster struct {
	clock     *mn.ManualClock
	views     []*mn.View
	settled   mn.Offset
	processes []*process
}

type process struct {
	*cluster
	ledger      *Ledger
	vm          mn.VMID
	offset      mn.Offset
	partitioned bool
	starts      int
}

func (p *process) Settled() mn.Offset { return p.settled }

func (p *process) CheckCurrent() error {
	if p.partitioned || p.offset < p.settled {
		return mn.Errorf(mn.NotCurrent, "%s", p.vm)
	}
	return nil
}

// restart starts a new incarnation of the process, which joins the roster unless
// it is the first one.
func (p *process) restart() {
	p.starts++
	incarnation := mn.Incarnation(fmt.Sprint(p.starts))
	p.ledger = New(Config{VM: p.vm, Incarnation: incarnation, Clock: p.clock, Freshness: p})
	p.offset = 0
	if p.starts == 1 {
		return
	}
	v := *p.lastView()
	v.Roster = maps.Clone(v.Roster)
	m := v.Roster[p.vm]
	m.VM, m.Role, m.Incarnation = p.vm, mn.RoleEntry, incarnation
	v.Roster[p.vm] = m
	c, _ := v.Customer("c")
	p.appendView(&v, c)
}

func (p *process) readUpTo(to mn.Offset, skip bool) {
	for p.offset < to {
		p.offset++
		if skip {
			p.offset = to
		}
		p.ledger.Update(p.views[p.offset-1])
	}
}

func (p *process) take(id mn.CustomerID) bool {
	a, unlock, err := p.ledger.openAccount(id)
	if err != nil {
		return false
	}
	defer unlock()
	return a.take()
}

func member(i int) mn.Member {
	vm := mn.VMID(fmt.Sprintf("vm-%d", i))
	return mn.Member{VM: vm, Incarnation: "1", Role: mn.RoleEntry, Addr: string(vm)}
}

func newCluster(count int, c mn.Customer) *cluster {
	w := &cluster{clock: mn.NewManualClock(1000)}
	v := &mn.View{Roster: map[mn.VMID]mn.Member{}}
	for i := range count {
		p := &process{cluster: w, vm: member(i).VM}
		p.restart()
		w.processes = append(w.processes, p)
		v.Roster[p.vm] = member(i)
	}
	w.appendView(v, c)
	return w
}

func (w *cluster) appendView(v *mn.View, c mn.Customer) {
	next := *v
	next.Offset = mn.Offset(len(w.views) + 1)
	next.Resources = map[mn.ResourceName]mn.Versioned{}
	r := mn.Resource{Customer: &c}
	next.Resources[r.Name()] = mn.Versioned{Resource: r, Version: next.Offset}
	w.views = append(w.views, &next)
}

func (w *cluster) lastView() *mn.View { return w.views[len(w.views)-1] }

func (w *cluster) toggleMember(i int) {
	v := *w.lastView()
	v.Roster = maps.Clone(v.Roster)
	m := member(i)
	m.Incarnation = mn.Incarnation(fmt.Sprint(w.processes[i].starts))
	if _, ok := v.Roster[m.VM]; ok {
		delete(v.Roster, m.VM)
	} else {
		v.Roster[m.VM] = m
	}
	c, _ := v.Customer("c")
	w.appendView(&v, c)
}

// warmUp lets every process read all views and fill its share.
func (w *cluster) warmUp() {
	w.settled = mn.Offset(len(w.views))
	for _, p := range w.processes {
		p.readUpTo(w.settled, false)
		p.ledger.Tick()
	}
	for range 2 {
		w.clock.Advance(10 * mn.Second)
		for _, p := range w.processes {
			p.ledger.Tick()
		}
	}
}

// checkAvailable fails if all processes together could admit more at this instant
// than a single bucket.
func (w *cluster) checkAvailable(t require.TestingT, oracle *singleBucket) {
	sum := 0.0
	for _, p := range w.processes {
		if a, unlock, err := p.ledger.openAccount("c"); err == nil {
			sum += a.available()
			unlock()
		}
	}
	oracle.accrue(w.clock.Now())
	require.LessOrEqual(t, sum, oracle.level+1e-6, "more is available at %d than a single bucket holds", w.clock.Now())
}

// message is a loan request in flight or, if answered is set, its answer.
type message struct {
	borrower, lender int
	loan             Loan
	asked            mn.Millis
	answered         bool
	// repeated marks a message that was delivered before. The borrower ignores
	// the answer, because it has used or dropped the first answer to the call.
	repeated bool
	granted  float64
}

// TestSumNeverExceedsRateAndBurst checks that all processes together admit no more
// than a single bucket, while they admit and lend in any order during random
// roster changes, reads of the stream, partitions, pauses, restarts, and lost, late
// or repeated messages.
func TestSumNeverExceedsRateAndBurst(t *testing.T) {
	for _, changing := range []bool{false, true} {
		t.Run(fmt.Sprintf("changing=%t", changing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkSum(t, changing) })
		})
	}
}

func checkSum(t *rapid.T, changing bool) {
	low, high := mn.Customer{ID: "c", Rate: 10, Burst: 6}, mn.Customer{ID: "c", Rate: 20, Burst: 9}
	w := newCluster(4, high)
	if rapid.Bool().Draw(t, "warm") {
		w.warmUp()
	}
	oracle := newSingleBucket(high.Rate, high.Burst, w.clock.Now())
	var inFlight []message
	var loans int
	pick := func(name string) int { return rapid.IntRange(0, len(w.processes)-1).Draw(t, name) }
	drain := func(p *process) {
		for p.take("c") {
			require.True(t, oracle.take(w.clock.Now()), "rate and burst exceeded at %d", w.clock.Now())
		}
	}
	drainAll := func(t *rapid.T) {
		w.checkAvailable(t, oracle)
		first := pick("first")
		for i := range w.processes {
			drain(w.processes[(first+i)%len(w.processes)])
		}
	}
	read := func(t *rapid.T) {
		p := w.processes[pick("proc")]
		to := mn.Offset(rapid.IntRange(int(p.offset), len(w.views)).Draw(t, "to"))
		p.readUpTo(to, rapid.IntRange(0, 4).Draw(t, "skip") == 0)
		p.ledger.Tick()
	}
	settle := func(t *rapid.T, to mn.Offset) {
		w.settled = max(w.settled, to)
		for _, p := range w.processes {
			if rapid.IntRange(0, 3).Draw(t, "ticks") > 0 {
				p.ledger.Tick()
			}
		}
	}
	wait := func(t *rapid.T) {
		w.clock.Advance(mn.Millis(rapid.SampledFrom([]int{1, 20, 90, 110, 260, 400, 1000}).Draw(t, "duration")))
	}
	readMost := func(t *rapid.T) {
		late := pick("late")
		for i, p := range w.processes {
			if i != late {
				p.readUpTo(mn.Offset(len(w.views)), false)
			}
		}
		settle(t, mn.Offset(len(w.views)))
	}
	t.Repeat(map[string]func(*rapid.T){
		"drain all": drainAll, "drain all 2": drainAll,
		"drain": func(t *rapid.T) { drain(w.processes[pick("proc")]) },
		"read":  read, "read most": readMost, "read most 2": readMost,
		"settle": func(t *rapid.T) { settle(t, w.processes[pick("proc")].offset) },
		"wait":   wait, "wait2": wait, "wait3": wait,
		"tick":      func(t *rapid.T) { w.processes[pick("proc")].ledger.Tick() },
		"partition": func(t *rapid.T) { p := w.processes[pick("proc")]; p.partitioned = !p.partitioned },
		"toggle":    func(*rapid.T) { w.toggleMember(pick("vm")) },
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
				w.processes[pick("proc")].restart()
			}
		},
		"change": func(t *rapid.T) {
			if changing {
				w.appendView(w.lastView(), rapid.SampledFrom([]mn.Customer{low, high}).Draw(t, "customer"))
			}
		},
		"ask": func(t *rapid.T) {
			loans++
			inFlight = append(inFlight, message{
				borrower: pick("borrower"), lender: pick("lender"), asked: w.clock.Now(),
				loan: Loan{ID: fmt.Sprint(loans), Customer: "c", Amount: float64(rapid.IntRange(1, 6).Draw(t, "amount"))},
			})
		},
		"deliver": func(t *rapid.T) {
			if len(inFlight) == 0 {
				return
			}
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
			m := inFlight[i]
			if !rapid.Bool().Draw(t, "again") {
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			} else {
				inFlight[i].repeated = true
			}
			switch {
			case m.answered:
				deliverAnswer(w.processes[m.borrower], m)
			case m.borrower != m.lender:
				m.granted = w.processes[m.lender].ledger.Lend(m.loan)
				m.answered = true
				inFlight = append(inFlight, m)
			}
		},
	})
}

func deliverAnswer(p *process, m message) {
	if m.repeated {
		return
	}
	a, unlock, err := p.ledger.openAccount("c")
	if err != nil {
		return
	}
	defer unlock()
	a.addBorrowed(m.granted, m.asked)
}
