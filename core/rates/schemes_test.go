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

// Timing of the comparison of schemes. networkDelay is the one-way delay between
// data centres.
const (
	networkDelay = 1500 * time.Microsecond
	warmUpTime   = 1500 * time.Millisecond
	measureTime  = 14 * time.Second
	deathDelay   = 2 * time.Second
	removalDelay = 4 * time.Second // From the death to the change of the roster, unless the log is down.
	settleDelay  = 3 * time.Second // From the change of the roster until it is settled.
)

// scheme is one scheme for dividing a bucket.
type scheme struct {
	name    string
	holders int
	lending bool
	// agents is the number of agents that may hold shares besides the entries.
	agents int
}

// entryGroup is the set of processes that serve a customer, with a simulated network
// between them.
type entryGroup struct {
	scheme
	customer mn.Customer
	ledgers  map[mn.VMID]*Ledger
	dead     atomic.Value
	settled  atomic.Int64
}

func (g *entryGroup) Settled() mn.Offset  { return mn.Offset(g.settled.Load()) }
func (g *entryGroup) CheckCurrent() error { return nil }

func (g *entryGroup) Borrow(ctx context.Context, m mn.Member, l Loan) (float64, error) {
	if g.dead.Load() == m.VM {
		time.Sleep(networkDelay)
		return 0, errors.New("connection refused")
	}
	time.Sleep(networkDelay)
	granted := g.ledgers[m.VM].Lend(l)
	time.Sleep(networkDelay)
	return granted, ctx.Err()
}

func newEntryGroup(s scheme, entries int, c mn.Customer) *entryGroup {
	g := &entryGroup{scheme: s, customer: c, ledgers: map[mn.VMID]*Ledger{}}
	g.dead.Store(mn.VMID(""))
	for i := range entries + s.agents {
		config := Config{VM: member(i).VM, Clock: mn.NewSystemClock(), Freshness: g, MaxHolders: s.holders}
		if s.lending {
			config.LoanClient = g
		}
		g.ledgers[config.VM] = New(config)
	}
	g.update(g.view(1, entries))
	g.settled.Store(1)
	return g
}

func (g *entryGroup) view(offset mn.Offset, entries int) *mn.View {
	v := &mn.View{Offset: offset, Roster: map[mn.VMID]mn.Member{}, Resources: map[mn.ResourceName]mn.Versioned{}}
	for i := range entries + g.agents {
		m := member(i)
		if i >= entries {
			m.Role = mn.RoleAgent
		}
		v.Roster[m.VM] = m
	}
	delete(v.Roster, g.dead.Load().(mn.VMID))
	r := mn.Resource{Customer: &g.customer}
	v.Resources[r.Name()] = mn.Versioned{Resource: r}
	return v
}

func (g *entryGroup) update(v *mn.View) {
	for _, l := range g.ledgers {
		l.Update(v)
	}
}

// victim returns the holder to kill: one that gets few requests, if there is such
// a holder. Most requests go to member 0 (see target).
func (g *entryGroup) victim(entries int) mn.VMID {
	d := newDivision(g.customer, candidatesOf(g.view(1, entries)), g.holders)
	for _, m := range d.holders {
		if m.VM != member(0).VM {
			return m.VM
		}
	}
	return d.holders[0].VM
}

// measurement holds the number of requests, of those that the scheme rejected and of
// those that a single bucket would have rejected, and the longest duration of a call
// of Admit.
type measurement struct {
	requests, rejected, singleRejected int64
	maxWait                            time.Duration
}

// measure sends Poisson arrivals at load times the customer's rate, four in five
// of them to one entry. A single bucket gets the same arrivals for comparison.
func (g *entryGroup) measure(entries int, death, outage bool, load float64) measurement {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, l := range g.ledgers {
		go l.Run(ctx)
	}
	time.Sleep(warmUpTime)
	began := time.Now()
	if death {
		go g.kill(entries, outage)
	}
	var result measurement
	var mu sync.Mutex
	var wg sync.WaitGroup
	oracle := newSingleBucket(g.customer.Rate, g.customer.Burst, mn.NewSystemClock().Now())
	random := rand.New(rand.NewPCG(7, uint64(entries)))
	next := began
	for time.Since(began) < measureTime {
		next = next.Add(time.Duration(random.ExpFloat64() / (g.customer.Rate * load) * float64(time.Second)))
		time.Sleep(time.Until(next))
		l := g.ledgers[g.target(random, entries)]
		result.requests++
		if !oracle.take(mn.NewSystemClock().Now()) {
			result.singleRejected++
		}
		wg.Go(func() {
			sent := time.Now()
			err := l.Admit(ctx, g.customer, 0)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.rejected++
			}
			result.maxWait = max(result.maxWait, time.Since(sent))
		})
	}
	wg.Wait()
	return result
}

func (g *entryGroup) target(r *rand.Rand, entries int) mn.VMID {
	for {
		i := 0
		if r.Float64() > 0.8 {
			i = r.IntN(entries)
		}
		if vm := member(i).VM; vm != g.dead.Load() {
			return vm
		}
	}
}

// kill makes the victim unreachable. Unless outage is set, it is then removed from
// the roster.
func (g *entryGroup) kill(entries int, outage bool) {
	time.Sleep(deathDelay)
	g.dead.Store(g.victim(entries))
	if outage {
		return
	}
	time.Sleep(removalDelay)
	g.update(g.view(2, entries))
	time.Sleep(settleDelay)
	g.settled.Store(2)
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
	schemes := []scheme{
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
		for _, s := range schemes {
			for _, fault := range []string{"none", "death", "outage", "death in outage"} {
				for _, load := range []float64{0.8, 1.2} {
					wg.Go(func() {
						death, outage := fault == "death" || fault == "death in outage", fault == "death in outage"
						m := newEntryGroup(s, entries, c).measure(entries, death, outage, load)
						mu.Lock()
						defer mu.Unlock()
						fmt.Printf("| %2d | %-16s | %-15s | %3.0f%% | %4d | %5.1f%% | %5.1f%% | %4d ms |\n", entries, s.name, fault, load*100, m.requests,
							100*float64(m.rejected)/float64(m.requests), 100*float64(m.singleRejected)/float64(m.requests), m.maxWait.Milliseconds())
					})
				}
			}
		}
	}
	wg.Wait()
}
