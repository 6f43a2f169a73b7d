package node

import (
	"context"
	"errors"
	"expvar"
	"maps"
	"net"
	"net/url"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/core/conf"
	"mustardnotch/core/poison"
	"mustardnotch/core/replay"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/agent"
	"mustardnotch/io/entry"
)

const (
	// transferRetryPause is the pause before memory is sent again.
	transferRetryPause = 100 * mn.Millisecond
	// leaveTransferTimeout bounds how long a leaving agent tries to hand its memory
	// over.
	leaveTransferTimeout = 1500 * mn.Millisecond
	// aliveProbes connections that last for aliveProbeTimeout show that the endpoint's
	// process is alive.
	aliveProbes       = 2
	aliveProbeTimeout = 50 * mn.Millisecond
	// maxQueuedTransfers bounds the memories that wait to be sent.
	maxQueuedTransfers = 1024
)

// callSync keeps an agent's memory of calls in step with the roster, and hands
// it to the agents that become homes of its keys.
type callSync struct {
	*base
	table    *calls.Table
	client   *agent.Client
	outgoing chan map[mn.VMID]calls.Transfer

	mu      sync.Mutex
	members map[mn.VMID]mn.Incarnation
	offset  mn.Offset
}

// newCallSync returns a keeper that follows the fold of b from now on.
func newCallSync(b *base, currency mn.FreshnessChecker) *callSync {
	k := &callSync{
		base:     b,
		table:    calls.New(calls.DefaultConfig(b.self.VM, b.self.Incarnation), b.clock, currency),
		client:   agent.New(b.conns),
		outgoing: make(chan map[mn.VMID]calls.Transfer, maxQueuedTransfers),
		members:  map[mn.VMID]mn.Incarnation{},
	}
	b.controlState.OnRecord(k.onRecord)
	return k
}

// onRecord is a hook of the fold.
func (k *callSync) onRecord(off mn.Offset, r *mn.Record, v conf.ApplyResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if off > k.offset+1 {
		k.resetRoster(k.controlState.View())
	}
	if off == 1 {
		k.table.MarkPoolNew()
	}
	k.offset = off
	if v.Err == nil && k.applyRecord(r) {
		k.enqueue(k.table.UpdateRoster(off, maps.Clone(k.members)))
	}
}

// applyRecord takes r into the members and says whether they have changed.
func (k *callSync) applyRecord(r *mn.Record) bool {
	switch {
	case r.Join != nil && r.Join.Role == mn.RoleAgent && r.Join.Pool == k.self.Pool:
		k.members[r.Join.VM] = r.Join.Incarnation
		return true
	case r.Join != nil:
		return k.removeMember(r.Join.VM, k.members[r.Join.VM])
	case r.Leave != nil:
		return k.removeMember(r.Leave.VM, r.Leave.Incarnation)
	case r.Remove != nil:
		return k.removeMember(r.Remove.VM, r.Remove.Incarnation)
	}
	return false
}

func (k *callSync) removeMember(vm mn.VMID, incarnation mn.Incarnation) bool {
	if have, ok := k.members[vm]; !ok || have != incarnation {
		return false
	}
	delete(k.members, vm)
	return true
}

// syncRoster takes over the roster of the view where records were skipped, as
// after a snapshot.
func (k *callSync) syncRoster() {
	v := k.controlState.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resetRoster(v)
}

// resetRoster takes over the roster of a view that follows on a snapshot.
func (k *callSync) resetRoster(v *mn.View) {
	if v.Offset == 0 || v.Offset < k.offset {
		return
	}
	members := map[mn.VMID]mn.Incarnation{}
	for _, m := range v.Agents(k.self.Pool) {
		members[m.VM] = m.Incarnation
	}
	if k.offset > 0 && maps.Equal(members, k.members) {
		return
	}
	if !v.ServedPools[k.self.Pool] {
		k.table.MarkPoolNew()
	}
	k.members, k.offset = members, v.Offset
	k.table.MarkRosterGap(v.Offset)
	k.enqueue(k.table.UpdateRoster(v.Offset, maps.Clone(members)))
}

// enqueue queues memories without blocking the fold.
func (k *callSync) enqueue(transfers map[mn.VMID]calls.Transfer) {
	if len(transfers) == 0 {
		return
	}
	select {
	case k.outgoing <- transfers:
	default:
		k.log.WithField("event", "handover_dropped").Warn()
	}
}

// run sends memories and late outcomes until ctx is done.
func (k *callSync) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for ctx.Err() == nil {
		var transfers map[mn.VMID]calls.Transfer
		select {
		case <-ctx.Done():
			return g.Wait()
		case transfers = <-k.outgoing:
		case <-k.table.LateOutcomesReady():
			transfers = k.table.TakeLateOutcomes()
		case <-k.controlState.Changed():
			k.syncRoster()
		}
		for vm, m := range transfers {
			g.Go(func() error {
				k.deliver(ctx, vm, m)
				return nil
			})
		}
	}
	return g.Wait()
}

// deliver sends m until its receiver has it, is no longer a member, or ctx is
// done.
func (k *callSync) deliver(ctx context.Context, vm mn.VMID, m calls.Transfer) {
	for ctx.Err() == nil {
		member, ok := k.controlState.View().Roster[vm]
		if !ok || member.Incarnation != m.To {
			return
		}
		err := k.client.Handover(ctx, member.Addr, k.self.Pool, m)
		if err == nil {
			k.log.WithField("event", "handover").WithField("to", vm).WithField("keys", len(m.Keys)).WithField("final", m.Final).Info()
			return
		}
		if mn.CodeOf(err) == mn.OrderStale {
			return
		}
		_ = k.clock.Sleep(ctx, transferRetryPause)
	}
}

// transferAll hands the whole memory over, as far as the others can be reached.
func (k *callSync) transferAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTransferTimeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	for vm, m := range k.table.Leave() {
		wg.Go(func() { k.deliver(ctx, vm, m) })
	}
	wg.Wait()
}

// transferLateOutcomes hands over the outcomes of calls that ran on meanwhile.
func (k *callSync) transferLateOutcomes(ctx context.Context) {
	for vm, m := range k.table.TakeLateOutcomes() {
		k.deliver(ctx, vm, m)
	}
}

// publishMetrics makes the counts of the table visible.
func (k *callSync) publishMetrics(answers *replay.Store[*meshpb.Frame], crashes *poison.Tracker) {
	expvar.Publish("calls_remembered", expvar.Func(func() any {
		n, _ := k.table.Size()
		return n
	}))
	expvar.Publish("calls_answer_bytes", expvar.Func(func() any {
		_, n := k.table.Size()
		return n
	}))
	expvar.Publish("generation_bytes", expvar.Func(func() any { return answers.Bytes() }))
	expvar.Publish("quarantined", expvar.Func(func() any { return crashes.Quarantined() }))
}

// newCrashTracker returns a tracker that takes in the crashes in the log.
func newCrashTracker(b *base) *poison.Tracker {
	t := poison.New(poison.DefaultConfig(), b.clock)
	b.controlState.OnRecord(func(_ mn.Offset, r *mn.Record, v conf.ApplyResult) {
		if r.Crash != nil && v.Err == nil {
			t.Add(*r.Crash)
		}
	})
	return t
}

// reportCrash appends a crash to the log, once the log takes it.
func (b *base) reportCrash(p mn.CrashRecord) {
	rec := &mn.Record{Version: mn.RecordVersion, ID: mn.NewRecordID(), Writer: b.self.VM, Crash: &p}
	b.log.WithField("event", "endpoint_crashed").WithField("fingerprint", p.Fingerprint).Warn()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), mn.Minute.Duration())
		defer cancel()
		for ctx.Err() == nil && b.append(ctx, rec) != nil {
			_ = b.clock.Sleep(ctx, mn.Second)
		}
	}()
}

// configureCalls adds to c what the agent's server needs to remember requests.
func (a *Agent) configureCalls(c *entry.Config) {
	a.callSync = newCallSync(a.base, c.Freshness)
	crashes := newCrashTracker(a.base)
	c.Calls = a.callSync.table
	c.Answers = replay.New[*meshpb.Frame](replay.DefaultConfig(), a.clock)
	c.Crashes = crashes
	c.Quarantine = poison.NewQuarantine(crashes)
	c.ReportCrash = a.reportCrash
	c.EndpointAlive = a.endpointAlive
	a.callSync.publishMetrics(c.Answers, crashes)
}

// endpointAlive says whether the endpoint's process accepts connections and
// keeps them. A process that ends closes its connections before its listener,
// so one connection made in between is reset a moment later.
func (a *Agent) endpointAlive(ctx context.Context) bool {
	u, err := url.Parse(a.settings.EndpointURL)
	if err != nil {
		return false
	}
	for range aliveProbes {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
		if err != nil {
			return false
		}
		_ = conn.SetReadDeadline(time.Now().Add(aliveProbeTimeout.Duration()))
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	return true
}
