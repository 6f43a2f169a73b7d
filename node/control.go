package node

import (
	"context"
	"net"
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
	// controlInterval is the interval at which the holder checks whether anything
	// has to be changed.
	controlInterval = 500 * mn.Millisecond
	// statePollInterval is the interval at which an engine's state is requested
	// during a change.
	statePollInterval = 100 * mn.Millisecond
	// removeAfter is how long a VM must be missing from the platform's list, and
	// unreachable, before its member is removed from the roster. It exceeds the
	// time for which a partitioned process may consider itself current.
	removeAfter = 6 * mn.Second
	// reachTimeout limits an attempt to connect to a member.
	reachTimeout = 500 * time.Millisecond
	// releaseTimeout limits the release of the lease by a leaving entry, and the
	// append of a removal.
	releaseTimeout = 2 * time.Second
)

// controller does the work of the holder of the control lease: it removes members, rolls
// out versions and roles, and sizes pools.
type controller struct {
	*base
	agents  *agent.Client
	elector *lease.Elector
	writer  recordWriter
	issuer  *order.Issuer
	scaler  *fleet.Scaler
	sizers  map[mn.PoolID]*fleet.Sizer
	// missingSince is when members were first missing and unreachable.
	missingSince map[mn.Incarnation]mn.Millis
	// postponedUntil is when a change of an engine that did not complete in time
	// may be attempted again.
	postponedUntil map[mn.VMID]mn.Millis
	cancel         context.CancelFunc
	done           chan struct{}

	mu     sync.Mutex
	loads  map[mn.VMID]*meshpb.LoadReport
	meters map[mn.PoolID]*demandMeter
	roles  map[mn.PoolID]*fleet.RolePolicy
}

func newController(b *base, agents *agent.Client) *controller {
	w := recordWriter{b.config.writer}
	settings := lease.DefaultSettings()
	settings.TTL = b.settings.LeaseTTL
	settings.RenewInterval = settings.TTL / 3
	settings.DriftMargin = settings.TTL / 20
	settings.WriteTimeout = settings.TTL * 2 / 3
	e := lease.New(b.self.VM, b.self.Incarnation, settings, b.clock, b.controlState, w, b.log)
	return &controller{
		base:           b,
		agents:         agents,
		elector:        e,
		writer:         w,
		issuer:         order.NewIssuer(e, b.clock, statePollInterval),
		scaler:         fleet.NewScaler(b.self.VM, fleet.DefaultOrderSettings(), b.clock, e, w, b.platform, b.log),
		sizers:         map[mn.PoolID]*fleet.Sizer{},
		missingSince:   map[mn.Incarnation]mn.Millis{},
		postponedUntil: map[mn.VMID]mn.Millis{},
		done:           make(chan struct{}),
		loads:          map[mn.VMID]*meshpb.LoadReport{},
		meters:         map[mn.PoolID]*demandMeter{},
		roles:          map[mn.PoolID]*fleet.RolePolicy{},
	}
}

// run takes part in the election for the control lease, and does the holder's work while
// this process holds it, until ctx is done or stop is called.
func (c *controller) run(ctx context.Context) error {
	defer close(c.done)
	c.mu.Lock()
	ctx, c.cancel = context.WithCancel(ctx)
	c.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		_ = c.elector.Run(ctx)
		return nil
	})
	c.runWhileHolder(ctx, g, c.removeGone)
	c.runWhileHolder(ctx, g, c.updateDemand)
	c.runWhileHolder(ctx, g, c.rollOut)
	c.runWhileHolder(ctx, g, c.resize)
	return g.Wait()
}

// runWhileHolder calls act every controlInterval while the process holds the lease.
func (c *controller) runWhileHolder(ctx context.Context, g *errgroup.Group, act func(context.Context)) {
	g.Go(func() error {
		for c.clock.Sleep(ctx, controlInterval) == nil {
			if c.elector.Remaining() > 0 {
				act(ctx)
			}
		}
		return nil
	})
}

// stop ends run and releases the lease.
func (c *controller) stop(ctx context.Context) {
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

// recordLoad records the latest load report of the agent on vm.
func (c *controller) recordLoad(vm mn.VMID, r *meshpb.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[vm] = r
}

// removeGone removes members from the roster whose VMs are missing from the platform's list
// and unreachable.
func (c *controller) removeGone(ctx context.Context) {
	vms, err := c.platform.ListVMs(ctx)
	if err != nil {
		clear(c.missingSince) // An absence counts only if the list could be read throughout.
		return
	}
	listed := map[mn.VMID]bool{}
	for _, v := range vms {
		listed[v.ID] = true
	}
	for _, m := range c.controlState.View().Roster {
		if listed[m.VM] || reachable(ctx, m.Addr) {
			delete(c.missingSince, m.Incarnation)
			continue
		}
		c.removeIfGone(ctx, m)
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

// removeIfGone appends the removal of m once it has been missing for removeAfter.
func (c *controller) removeIfGone(ctx context.Context, m mn.Member) {
	now := c.clock.Now()
	since, ok := c.missingSince[m.Incarnation]
	if !ok {
		c.missingSince[m.Incarnation] = now
		return
	}
	term, _, held := c.elector.Held()
	if now-since < removeAfter || !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	r := &mn.Record{Version: mn.RecordVersion, ID: mn.NewRecordID(), Writer: c.self.VM}
	r.Remove = &mn.Removal{VM: m.VM, Incarnation: m.Incarnation, Term: term}
	_, err := c.writer.Write(ctx, r)
	c.logResult("member_removed", m.VM, err)
	delete(c.missingSince, m.Incarnation)
}

// resize orders endpoints for the pools that declare a maximum size.
func (c *controller) resize(ctx context.Context) {
	states, err := c.scaler.States(ctx)
	if err != nil {
		return
	}
	v := c.controlState.View()
	for _, r := range v.Resources {
		if p := r.Resource.Pool; p != nil && p.MaxEndpoints > 0 {
			c.resizePool(ctx, *p, v.Agents(p.ID), states)
		}
	}
}

func (c *controller) resizePool(ctx context.Context, p mn.Pool, agents []mn.Member, states []mn.FleetState) {
	current, total := sizes(p.ID, agents, states)
	loads, loadSum := c.loadByDataCentre(agents, current)
	if len(loads) == 0 {
		return
	}
	sizer, ok := c.sizers[p.ID]
	if !ok {
		sizer = fleet.NewSizer(fleet.DefaultSizeSettings())
		c.sizers[p.ID] = sizer
	}
	target := sizer.Target(c.clock.Now(), loadSum, total, p.MinEndpoints, p.MaxEndpoints)
	if target == total {
		return
	}
	for dc, size := range fleet.Spread(target, loads, current) {
		if size == current[dc] {
			continue
		}
		if err := c.scaler.SetTarget(ctx, p.ID, dc, size); err != nil {
			c.log.WithField("event", "fleet_order_failed").WithField("pool", p.ID).Warn(err)
			return
		}
	}
}

// sizes returns the size of a pool by data centre, and the sum. The size is the number of
// endpoints ordered or, for a pool without orders, the number of agents.
func sizes(pool mn.PoolID, agents []mn.Member, states []mn.FleetState) (current map[mn.DataCentre]int64, total int64) {
	current = map[mn.DataCentre]int64{}
	for _, s := range states {
		if s.Pool == pool {
			current[s.DataCentre] = s.Target
			total += s.Target
		}
	}
	if total > 0 {
		return current, total
	}
	for _, a := range agents {
		current[a.DataCentre]++
		total++
	}
	return current, total
}

// loadByDataCentre returns the load of agents by data centre, in endpoints, and its sum.
// The result includes every data centre in current, if only with load 0.
func (c *controller) loadByDataCentre(agents []mn.Member, current map[mn.DataCentre]int64) (loads map[mn.DataCentre]float64, sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads = map[mn.DataCentre]float64{}
	for dc := range current {
		loads[dc] = 0
	}
	for _, a := range agents {
		r := c.loads[a.VM]
		if r == nil || r.Limit == 0 {
			continue
		}
		load := float64(r.Running+r.Waiting) / float64(r.Limit)
		loads[a.DataCentre] += load
		sum += load
	}
	return loads, sum
}
