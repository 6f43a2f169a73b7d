package rates

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

// naive is a single bucket. Admissions that it takes, starting full, exceed
// rate and burst in no window.
type naive struct {
	rate, burst, level float64
	at                 mn.Millis
}

func newNaive(rate, burst float64, now mn.Millis) *naive {
	return &naive{rate: rate, burst: burst, level: burst, at: now}
}

func (n *naive) accrue(now mn.Millis) {
	n.level = min(n.burst, n.level+n.rate/float64(mn.Second)*float64(now-n.at))
	n.at = now
}

func (n *naive) take(now mn.Millis) bool {
	n.accrue(now)
	if n.level < 1-1e-6 {
		return false
	}
	n.level--
	return true
}

// world is a set of processes with a currency oracle: a process is current if
// it isn't cut off and has read at least up to the settled offset.
type world struct {
	clock   *mn.ManualClock
	views   []*mn.View
	settled mn.Offset
	procs   []*proc
}

type proc struct {
	*world
	book   *Ledger
	vm     mn.VMID
	offset mn.Offset
	cut    bool
	starts int
}

func (p *proc) Settled() mn.Offset { return p.settled }

func (p *proc) CheckCurrent() error {
	if p.cut || p.offset < p.settled {
		return mn.Errorf(mn.NotCurrent, "%s", p.vm)
	}
	return nil
}

// restart starts the process, which then joins again.
func (p *proc) restart() {
	p.starts++
	incarnation := mn.Incarnation(fmt.Sprint(p.starts))
	p.book = New(Config{VM: p.vm, Incarnation: incarnation, Clock: p.clock, Freshness: p})
	p.offset = 0
	if p.starts == 1 {
		return
	}
	v := *p.head()
	v.Roster = maps.Clone(v.Roster)
	m := v.Roster[p.vm]
	m.VM, m.Role, m.Incarnation = p.vm, mn.RoleEntry, incarnation
	v.Roster[p.vm] = m
	c, _ := v.Customer("c")
	p.append(&v, c)
}

func (p *proc) read(to mn.Offset, skip bool) {
	for p.offset < to {
		p.offset++
		if skip {
			p.offset = to
		}
		p.book.Update(p.views[p.offset-1])
	}
}

func (p *proc) take(id mn.CustomerID) bool {
	a, unlock, err := p.book.open(id)
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

func newWorld(count int, c mn.Customer) *world {
	w := &world{clock: mn.NewManualClock(1000)}
	v := &mn.View{Roster: map[mn.VMID]mn.Member{}}
	for i := range count {
		p := &proc{world: w, vm: member(i).VM}
		p.restart()
		w.procs = append(w.procs, p)
		v.Roster[p.vm] = member(i)
	}
	w.append(v, c)
	return w
}

func (w *world) append(v *mn.View, c mn.Customer) {
	next := *v
	next.Offset = mn.Offset(len(w.views) + 1)
	next.Resources = map[mn.ResourceName]mn.Versioned{}
	r := mn.Resource{Customer: &c}
	next.Resources[r.Name()] = mn.Versioned{Resource: r, Version: next.Offset}
	w.views = append(w.views, &next)
}

func (w *world) head() *mn.View { return w.views[len(w.views)-1] }

func (w *world) toggle(i int) {
	v := *w.head()
	v.Roster = maps.Clone(v.Roster)
	m := member(i)
	m.Incarnation = mn.Incarnation(fmt.Sprint(w.procs[i].starts))
	if _, ok := v.Roster[m.VM]; ok {
		delete(v.Roster, m.VM)
	} else {
		v.Roster[m.VM] = m
	}
	c, _ := v.Customer("c")
	w.append(&v, c)
}

// warm has every process read everything and fill its share.
func (w *world) warm() {
	w.settled = mn.Offset(len(w.views))
	for _, p := range w.procs {
		p.read(w.settled, false)
		p.book.Tick()
	}
	for range 2 {
		w.clock.Advance(10 * mn.Second)
		for _, p := range w.procs {
			p.book.Tick()
		}
	}
}

// checkAvailable fails if the processes could admit more at this instant than
// a single bucket.
func (w *world) checkAvailable(t require.TestingT, oracle *naive) {
	sum := 0.0
	for _, p := range w.procs {
		if a, unlock, err := p.book.open("c"); err == nil {
			sum += a.available()
			unlock()
		}
	}
	oracle.accrue(w.clock.Now())
	require.LessOrEqual(t, sum, oracle.level+1e-6, "more is available at %d than a single bucket holds", w.clock.Now())
}

// message is a loan on its way, to the lender and then back.
type message struct {
	borrower, lender int
	loan             Loan
	asked            mn.Millis
	back             bool
	// stray marks a repeat: the borrower has dropped the call's first answer
	// or taken it, and knows the repeat's for what it is.
	stray   bool
	granted float64
}

// TestSumNeverExceedsRateAndBurst lets processes admit and lend in any order,
// under any schedule of roster changes, reads, cuts, pauses, restarts, and lost,
// late or repeated messages.
func TestSumNeverExceedsRateAndBurst(t *testing.T) {
	for _, changing := range []bool{false, true} {
		t.Run(fmt.Sprintf("changing=%t", changing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkSum(t, changing) })
		})
	}
}

func checkSum(t *rapid.T, changing bool) {
	low, high := mn.Customer{ID: "c", Rate: 10, Burst: 6}, mn.Customer{ID: "c", Rate: 20, Burst: 9}
	w := newWorld(4, high)
	if rapid.Bool().Draw(t, "warm") {
		w.warm()
	}
	oracle := newNaive(high.Rate, high.Burst, w.clock.Now())
	var wire []message
	var loans int
	pick := func(name string) int { return rapid.IntRange(0, len(w.procs)-1).Draw(t, name) }
	drain := func(p *proc) {
		for p.take("c") {
			require.True(t, oracle.take(w.clock.Now()), "rate and burst exceeded at %d", w.clock.Now())
		}
	}
	drainAll := func(t *rapid.T) {
		w.checkAvailable(t, oracle)
		first := pick("first")
		for i := range w.procs {
			drain(w.procs[(first+i)%len(w.procs)])
		}
	}
	read := func(t *rapid.T) {
		p := w.procs[pick("proc")]
		to := mn.Offset(rapid.IntRange(int(p.offset), len(w.views)).Draw(t, "to"))
		p.read(to, rapid.IntRange(0, 4).Draw(t, "skip") == 0)
		p.book.Tick()
	}
	settle := func(t *rapid.T, to mn.Offset) {
		w.settled = max(w.settled, to)
		for _, p := range w.procs {
			if rapid.IntRange(0, 3).Draw(t, "ticks") > 0 {
				p.book.Tick()
			}
		}
	}
	wait := func(t *rapid.T) {
		w.clock.Advance(mn.Millis(rapid.SampledFrom([]int{1, 20, 90, 110, 260, 400, 1000}).Draw(t, "span")))
	}
	readMost := func(t *rapid.T) {
		late := pick("late")
		for i, p := range w.procs {
			if i != late {
				p.read(mn.Offset(len(w.views)), false)
			}
		}
		settle(t, mn.Offset(len(w.views)))
	}
	t.Repeat(map[string]func(*rapid.T){
		"drain all": drainAll, "drain all 2": drainAll,
		"drain": func(t *rapid.T) { drain(w.procs[pick("proc")]) },
		"read":  read, "read most": readMost, "read most 2": readMost,
		"settle": func(t *rapid.T) { settle(t, w.procs[pick("proc")].offset) },
		"wait":   wait, "wait2": wait, "wait3": wait,
		"tick":   func(t *rapid.T) { w.procs[pick("proc")].book.Tick() },
		"cut":    func(t *rapid.T) { p := w.procs[pick("proc")]; p.cut = !p.cut },
		"toggle": func(*rapid.T) { w.toggle(pick("vm")) },
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
				w.procs[pick("proc")].restart()
			}
		},
		"change": func(t *rapid.T) {
			if changing {
				w.append(w.head(), rapid.SampledFrom([]mn.Customer{low, high}).Draw(t, "customer"))
			}
		},
		"ask": func(t *rapid.T) {
			loans++
			wire = append(wire, message{
				borrower: pick("borrower"), lender: pick("lender"), asked: w.clock.Now(),
				loan: Loan{ID: fmt.Sprint(loans), Customer: "c", Amount: float64(rapid.IntRange(1, 6).Draw(t, "amount"))},
			})
		},
		"deliver": func(t *rapid.T) {
			if len(wire) == 0 {
				return
			}
			i := rapid.IntRange(0, len(wire)-1).Draw(t, "message")
			m := wire[i]
			if !rapid.Bool().Draw(t, "again") {
				wire = append(wire[:i], wire[i+1:]...)
			} else {
				wire[i].stray = true
			}
			switch {
			case m.back:
				giveBack(w.procs[m.borrower], m)
			case m.borrower != m.lender:
				m.granted = w.procs[m.lender].book.Lend(m.loan)
				m.back = true
				wire = append(wire, m)
			}
		},
	})
}

func giveBack(p *proc, m message) {
	if m.stray {
		return
	}
	a, unlock, err := p.book.open("c")
	if err != nil {
		return
	}
	defer unlock()
	a.hold(m.granted, m.asked)
}
