package node

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/core/fleet"
	"mustardnotch/core/lease"
	"mustardnotch/core/order"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/agent"
)

const (
	// controlPause is the span between looks of the holder at what is to do.
	controlPause = 500 * mn.Millisecond
	// statePoll is the span between looks at an engine during a change.
	statePoll = 100 * mn.Millisecond
	// changeLimit bounds one engine's change, with the drain before it.
	changeLimit = 60 * mn.Second
	// goneAfter is for how long a VM has to be missing from the platform's
	// list, and out of reach, before it leaves the roster. It exceeds the time
	// for which a process that is cut off may count itself current.
	goneAfter = 6 * mn.Second
	// reachTimeout bounds the try to reach a member.
	reachTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the giving up of the lease by a leaving entry.
	releaseTimeout = 2 * time.Second
)

// control is what an entry does while it holds the control lease.
type control struct {
	*base
	agents  *agent.Client
	elector *lease.Elector
	writer  *writer
	issuer  *order.Issuer
	orders  *fleet.Orders
	sizers  map[mn.PoolID]*fleet.Sizer
	// missing is since when members are missing from the platform's list.
	missing map[mn.Incarnation]mn.Millis
	cancel  context.CancelFunc
	done    chan struct{}

	mu    sync.Mutex
	loads map[mn.VMID]*meshpb.LoadReport
}

func newControl(b *base, agents *agent.Client) *control {
	w := newWriter(b)
	settings := lease.DefaultSettings()
	settings.Span = b.settings.Lease
	settings.Renew = settings.Span / 3
	settings.Margin = settings.Span / 20
	settings.Timeout = settings.Span / 3
	e := lease.New(b.self.VM, b.self.Incarnation, settings, b.clock, b.fold, w, b.log)
	return &control{
		base:    b,
		agents:  agents,
		elector: e,
		writer:  w,
		issuer:  order.NewIssuer(e, b.clock, statePoll),
		orders:  fleet.NewOrders(b.self.VM, fleet.DefaultOrderSettings(), b.clock, e, w, b.plat, b.log),
		sizers:  map[mn.PoolID]*fleet.Sizer{},
		missing: map[mn.Incarnation]mn.Millis{},
		done:    make(chan struct{}),
		loads:   map[mn.VMID]*meshpb.LoadReport{},
	}
}

// run takes part in the election, and acts as holder while elected, until ctx
// is done or stop is called.
func (c *control) run(ctx context.Context) error {
	defer close(c.done)
	c.mu.Lock()
	ctx, c.cancel = context.WithCancel(ctx)
	c.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		_ = c.elector.Run(ctx)
		return nil
	})
	c.every(ctx, g, c.removeGone)
	c.every(ctx, g, c.rollOut)
	c.every(ctx, g, c.resize)
	return g.Wait()
}

// every calls act over and over while the process holds the lease.
func (c *control) every(ctx context.Context, g *errgroup.Group, act func(context.Context)) {
	g.Go(func() error {
		for c.clock.Sleep(ctx, controlPause) == nil {
			if c.elector.Remaining() > 0 {
				act(ctx)
			}
		}
		return nil
	})
}

// stop ends run and gives the lease up.
func (c *control) stop(ctx context.Context) {
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	<-c.done
	ctx, cancel = context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := c.elector.Release(ctx); err != nil {
		c.log.WithField("event", "release_failed").Warn(err)
	}
}

// report takes in the load report of an agent.
func (c *control) report(vm mn.VMID, r *meshpb.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[vm] = r
}

// removeGone takes members off the roster whose VMs the platform no longer
// lists, once they are out of reach too.
func (c *control) removeGone(ctx context.Context) {
	vms, err := c.plat.ListVMs(ctx)
	if err != nil {
		clear(c.missing) // An absence counts only while the list can be read.
		return
	}
	listed := map[mn.VMID]bool{}
	for _, v := range vms {
		listed[v.ID] = true
	}
	for _, m := range c.fold.View().Roster {
		if listed[m.VM] || reachable(ctx, m.Addr) {
			delete(c.missing, m.Incarnation)
			continue
		}
		c.remove(ctx, m)
	}
}

func reachable(ctx context.Context, addr string) bool {
	d := net.Dialer{Timeout: reachTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// remove writes the removal of m once it has been gone for long enough.
func (c *control) remove(ctx context.Context, m mn.Member) {
	now := c.clock.Now()
	since, ok := c.missing[m.Incarnation]
	if !ok {
		c.missing[m.Incarnation] = now
		return
	}
	term, _, held := c.elector.Held()
	if now-since < goneAfter || !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	r := &mn.Record{Version: mn.RecordVersion, ID: mn.NewRecordID(), Writer: c.self.VM}
	r.Remove = &mn.Removal{VM: m.VM, Incarnation: m.Incarnation, Term: term}
	_, err := c.writer.Write(ctx, r)
	c.note("member_removed", m.VM, err)
	delete(c.missing, m.Incarnation)
}

// rollOut has the engines of each pool load the declared version, one engine
// of a pool at a time.
func (c *control) rollOut(ctx context.Context) {
	v := c.fold.View()
	for _, r := range v.Resources {
		p := r.Resource.Pool
		if p == nil || p.Kind != mn.PoolModel {
			continue
		}
		if m, ok := v.Model(p.Model); ok {
			c.rollOutPool(ctx, v.Agents(p.ID), m)
		}
	}
}

func (c *control) rollOutPool(ctx context.Context, agents []mn.Member, m mn.Model) {
	slices.SortFunc(agents, func(a, b mn.Member) int { return cmp.Compare(a.VM, b.VM) })
	var stale []mn.Member
	targets := map[mn.VMID]mn.EngineTarget{}
	for _, a := range agents {
		s, err := c.issuer.State(ctx, c.agents.Taker(a.Addr))
		if err != nil {
			continue // An agent out of reach is no spare, and gets its order later.
		}
		if s.Busy || s.State.Changing {
			return
		}
		targets[a.VM] = mn.EngineTarget{Role: s.State.Role, Model: m.ID, Version: m.Version}
		if !targets[a.VM].Reached(s.State) {
			stale = append(stale, a)
		}
	}
	if len(stale) > 0 {
		c.change(ctx, stale[0], targets[stale[0].VM])
	}
}

// change loads the weights that the target needs, under the store's rate
// limit, and has the engine change.
func (c *control) change(ctx context.Context, m mn.Member, target mn.EngineTarget) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit.Duration())
	defer cancel()
	wait, err := c.plat.Reserve(ctx, target.Model, target.Version)
	if err == nil {
		err = c.clock.Sleep(ctx, wait)
	}
	if err == nil {
		err = c.issuer.Change(ctx, c.agents.Taker(m.Addr), target)
	}
	c.note("engine_change", m.VM, err)
}

func (c *control) note(event string, member mn.VMID, err error) {
	entry := c.log.WithField("event", event).WithField("member", member)
	if err != nil {
		entry.Warn(err)
		return
	}
	entry.Info()
}

// resize orders endpoints for pools that declare a largest size.
func (c *control) resize(ctx context.Context) {
	states, err := c.orders.States(ctx)
	if err != nil {
		return
	}
	v := c.fold.View()
	for _, r := range v.Resources {
		if p := r.Resource.Pool; p != nil && p.MaxEndpoints > 0 {
			c.resizePool(ctx, *p, v.Agents(p.ID), states)
		}
	}
}

func (c *control) resizePool(ctx context.Context, p mn.Pool, agents []mn.Member, states []mn.FleetState) {
	current := map[mn.DataCentre]int64{}
	demand := map[mn.DataCentre]float64{}
	var total int64
	for _, s := range states {
		if s.Pool == p.ID {
			current[s.DataCentre] = s.Target
			demand[s.DataCentre] = 0
			total += s.Target
		}
	}
	if total == 0 {
		for _, a := range agents {
			current[a.DataCentre]++
			total++
		}
	}
	load := c.demand(agents, demand)
	if len(demand) == 0 {
		return
	}
	sizer, ok := c.sizers[p.ID]
	if !ok {
		sizer = fleet.NewSizer(fleet.DefaultSizeSettings())
		c.sizers[p.ID] = sizer
	}
	target := sizer.Target(c.clock.Now(), load, total, p.MinEndpoints, p.MaxEndpoints)
	if target == total {
		return
	}
	for dc, size := range fleet.Spread(target, demand, current) {
		if size == current[dc] {
			continue
		}
		if err := c.orders.Set(ctx, p.ID, dc, size); err != nil {
			c.log.WithField("event", "fleet_order_failed").WithField("pool", p.ID).Warn(err)
			return
		}
	}
}

// demand adds the load of agents by data centre to demand and returns the sum,
// in endpoints.
func (c *control) demand(agents []mn.Member, demand map[mn.DataCentre]float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum float64
	for _, a := range agents {
		demand[a.DataCentre] += 0
		r := c.loads[a.VM]
		if r == nil || r.Limit == 0 {
			continue
		}
		load := float64(r.Running+r.Waiting) / float64(r.Limit)
		demand[a.DataCentre] += load
		sum += load
	}
	return sum
}
