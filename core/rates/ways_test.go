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
	networkDelay = 1500 * time.Microsecond
	warmUpTime   = 1500 * time.Millisecond
	measureTime  = 14 * time.Second
	deathDelay   = 2 * time.Second
	removalDelay = 4 * time.Second // after the death, without an outage
	settleDelay  = 3 * time.Second // until an established roster is settled
)

// scheme is one way of dividing a bucket.
type scheme struct {
	name    string
	holders int
	lending bool
	// agents is how many agents may hold shares besides the entries.
	agents int
}

// entryGroup is a customer's entries with a network between them.
type entryGroup struct {
	scheme
	customer mn.Customer
	ledgers  map[mn.VMID]*Ledger
	dead     atomic.Value
	settled  atomic.Int64
}

func (f *entryGroup) Settled() mn.Offset  { return mn.Offset(f.settled.Load()) }
func (f *entryGroup) CheckCurrent() error { return nil }

func (f *entryGroup) Borrow(ctx context.Context, m mn.Member, l Loan) (float64, error) {
	if f.dead.Load() == m.VM {
		time.Sleep(networkDelay)
		return 0, errors.New("connection refused")
	}
	time.Sleep(networkDelay)
	granted := f.ledgers[m.VM].Lend(l)
	time.Sleep(networkDelay)
	return granted, ctx.Err()
}

func newEntryGroup(w scheme, entries int, c mn.Customer) *entryGroup {
	f := &entryGroup{scheme: w, customer: c, ledgers: map[mn.VMID]*Ledger{}}
	f.dead.Store(mn.VMID(""))
	for i := range entries + w.agents {
		cfg := Config{VM: member(i).VM, Clock: mn.NewSystemClock(), Freshness: f, MaxHolders: w.holders}
		if w.lending {
			cfg.LoanClient = f
		}
		f.ledgers[cfg.VM] = New(cfg)
	}
	f.update(f.view(1, entries))
	f.settled.Store(1)
	return f
}

func (f *entryGroup) view(off mn.Offset, entries int) *mn.View {
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

func (f *entryGroup) update(v *mn.View) {
	for _, b := range f.ledgers {
		b.Update(v)
	}
}

// victim is a holder of the bucket that the balancer sends little to.
func (f *entryGroup) victim(entries int) mn.VMID {
	d := newDivision(f.customer, candidatesOf(f.view(1, entries)), f.holders)
	for _, m := range d.holders {
		if m.VM != member(0).VM {
			return m.VM
		}
	}
	return d.holders[0].VM
}

// measurement is one measurement: shares of wrong refusals and of refusals.
type measurement struct {
	requests, rejected, singleRejected int64
	maxWait                            time.Duration
}

// measure sends Poisson arrivals at load times the customer's rate, four in
// five of them to one entry, and counts refusals beside those of one bucket.
func (f *entryGroup) measure(entries int, death, outage bool, load float64) measurement {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, b := range f.ledgers {
		go b.Run(ctx)
	}
	time.Sleep(warmUpTime)
	began := time.Now()
	if death {
		go f.kill(entries, outage)
	}
	var c measurement
	var mu sync.Mutex
	var wg sync.WaitGroup
	oracle := newSingleBucket(f.customer.Rate, f.customer.Burst, mn.NewSystemClock().Now())
	r := rand.New(rand.NewPCG(7, uint64(entries)))
	next := began
	for time.Since(began) < measureTime {
		next = next.Add(time.Duration(r.ExpFloat64() / (f.customer.Rate * load) * float64(time.Second)))
		time.Sleep(time.Until(next))
		b := f.ledgers[f.target(r, entries)]
		c.requests++
		if !oracle.take(mn.NewSystemClock().Now()) {
			c.singleRejected++
		}
		wg.Go(func() {
			sent := time.Now()
			err := b.Admit(ctx, f.customer, 0)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				c.rejected++
			}
			c.maxWait = max(c.maxWait, time.Since(sent))
		})
	}
	wg.Wait()
	return c
}

func (f *entryGroup) target(r *rand.Rand, entries int) mn.VMID {
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

func (f *entryGroup) kill(entries int, outage bool) {
	time.Sleep(deathDelay)
	f.dead.Store(f.victim(entries))
	if outage {
		return
	}
	time.Sleep(removalDelay)
	f.update(f.view(2, entries))
	time.Sleep(settleDelay)
	f.settled.Store(2)
}

// BenchmarkWays prints the table of docs/design/rates.md:
//
//	go test -run NONE -bench Ways -benchtime 1x ./core/rates
func BenchmarkWays(b *testing.B) {
	for b.Loop() {
		compareSchemes()
	}
}

func compareSchemes() {
	ways := []scheme{
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
						m := newEntryGroup(w, entries, c).measure(entries, death, outage, load)
						mu.Lock()
						defer mu.Unlock()
						fmt.Printf("| %2d | %-16s | %-15s | %3.0f%% | %4d | %5.1f%% | %5.1f%% | %4d ms |\n", entries, w.name, fault, load*100, m.requests,
							100*float64(m.rejected)/float64(m.requests), 100*float64(m.singleRejected)/float64(m.requests), m.maxWait.Milliseconds())
					})
				}
			}
		}
	}
	wg.Wait()
}
