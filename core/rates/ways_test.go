package rates

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	mn "mustardnotch"
)

// Figures of the comparison of ways. Delays are one way, in the brief's data
// centres.
const (
	wayDelay    = 1500 * time.Microsecond
	wayWarm     = 1500 * time.Millisecond
	wayRun      = 14 * time.Second
	wayDeath    = 2 * time.Second
	wayRemoved  = 4 * time.Second // after the death, without an outage
	wayEvidence = 3 * time.Second // until an established roster is settled
)

// way is one way of dividing a bucket.
type way struct {
	name    string
	holders int
	lending bool
	// agents is how many agents may hold shares besides the entries.
	agents int
}

// fleet is a customer's entries with a network between them.
type fleet struct {
	way
	customer mn.Customer
	books    map[mn.VMID]*Ledger
	dead     atomic.Value
	settled  atomic.Int64
}

func (f *fleet) Settled() mn.Offset  { return mn.Offset(f.settled.Load()) }
func (f *fleet) CheckCurrent() error { return nil }

func (f *fleet) Borrow(ctx context.Context, m mn.Member, l Loan) (float64, error) {
	if f.dead.Load() == m.VM {
		time.Sleep(wayDelay)
		return 0, errors.New("connection refused")
	}
	time.Sleep(wayDelay)
	granted := f.books[m.VM].Lend(l)
	time.Sleep(wayDelay)
	return granted, ctx.Err()
}

func newFleet(w way, entries int, c mn.Customer) *fleet {
	f := &fleet{way: w, customer: c, books: map[mn.VMID]*Ledger{}}
	f.dead.Store(mn.VMID(""))
	for i := range entries + w.agents {
		cfg := Config{VM: member(i).VM, Clock: mn.NewSystemClock(), Freshness: f, MaxHolders: w.holders}
		if w.lending {
			cfg.LoanClient = f
		}
		f.books[cfg.VM] = New(cfg)
	}
	f.update(f.view(1, entries))
	f.settled.Store(1)
	return f
}

func (f *fleet) view(off mn.Offset, entries int) *mn.View {
	v := &mn.View{Offset: off, Roster: map[mn.VMID]mn.Member{}, Resources: map[mn.ResourceName]mn.Versioned{}}
	for i := range entries + f.agents {
		m := member(i)
		if i >= entries {
			m.Role = mn.RoleAgent
		}
		v.Roster[m.VM] = m
	}
	delete(v.Roster, f.dead.Load().(mn.VMID))
	r := mn.Resource{Customer: &f.customer}
	v.Resources[r.Name()] = mn.Versioned{Resource: r}
	return v
}

func (f *fleet) update(v *mn.View) {
	for _, b := range f.books {
		b.Update(v)
	}
}

// victim is a holder of the bucket that the balancer sends little to.
func (f *fleet) victim(entries int) mn.VMID {
	d := divide(f.customer, membersOf(f.view(1, entries)), f.holders)
	for _, m := range d.holders {
		if m.VM != member(0).VM {
			return m.VM
		}
	}
	return d.holders[0].VM
}

// cell is one measurement: shares of wrong refusals and of refusals.
type cell struct {
	requests, refused, ideal int64
	worst                    time.Duration
}

// measure sends Poisson arrivals at load times the customer's rate, four in
// five of them to one entry, and counts refusals beside those of one bucket.
func (f *fleet) measure(entries int, death, outage bool, load float64) cell {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, b := range f.books {
		go b.Run(ctx)
	}
	time.Sleep(wayWarm)
	began := time.Now()
	if death {
		go f.kill(entries, outage)
	}
	var c cell
	var mu sync.Mutex
	var wg sync.WaitGroup
	oracle := newNaive(f.customer.Rate, f.customer.Burst, mn.NewSystemClock().Now())
	r := rand.New(rand.NewPCG(7, uint64(entries)))
	next := began
	for time.Since(began) < wayRun {
		next = next.Add(time.Duration(r.ExpFloat64() / (f.customer.Rate * load) * float64(time.Second)))
		time.Sleep(time.Until(next))
		b := f.books[f.target(r, entries)]
		c.requests++
		if !oracle.take(mn.NewSystemClock().Now()) {
			c.ideal++
		}
		wg.Go(func() {
			sent := time.Now()
			err := b.Admit(ctx, f.customer, 0)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				c.refused++
			}
			c.worst = max(c.worst, time.Since(sent))
		})
	}
	wg.Wait()
	return c
}

func (f *fleet) target(r *rand.Rand, entries int) mn.VMID {
	for {
		i := 0
		if r.Float64() > 0.8 {
			i = r.IntN(entries)
		}
		if vm := member(i).VM; vm != f.dead.Load() {
			return vm
		}
	}
}

func (f *fleet) kill(entries int, outage bool) {
	time.Sleep(wayDeath)
	f.dead.Store(f.victim(entries))
	if outage {
		return
	}
	time.Sleep(wayRemoved)
	f.update(f.view(2, entries))
	time.Sleep(wayEvidence)
	f.settled.Store(2)
}

// BenchmarkWays prints the table of docs/design/rates.md:
//
//	go test -run NONE -bench Ways -benchtime 1x ./core/rates
func BenchmarkWays(b *testing.B) {
	for b.Loop() {
		compareWays()
	}
}

func compareWays() {
	ways := []way{
		{"single owner", 1, true, 0},
		{"static division", 100, false, 0},
		{"2 shares, lent", 2, true, 0},
		{"4 shares, lent", 4, true, 0},
		{"8 shares, lent", 8, true, 0},
		{"8 with agents", 8, true, 13},
	}
	c := mn.Customer{ID: "c", Rate: 60, Burst: 60}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, entries := range []int{3, 20} {
		for _, w := range ways {
			for _, fault := range []string{"none", "death", "outage", "death in outage"} {
				for _, load := range []float64{0.8, 1.2} {
					wg.Go(func() {
						death, outage := fault == "death" || fault == "death in outage", fault == "death in outage"
						m := newFleet(w, entries, c).measure(entries, death, outage, load)
						mu.Lock()
						defer mu.Unlock()
						fmt.Printf("| %2d | %-16s | %-15s | %3.0f%% | %4d | %5.1f%% | %5.1f%% | %4d ms |\n", entries, w.name, fault, load*100, m.requests,
							100*float64(m.refused)/float64(m.requests), 100*float64(m.ideal)/float64(m.requests), m.worst.Milliseconds())
					})
				}
			}
		}
	}
	wg.Wait()
}
