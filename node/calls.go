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
	// transferRetryPause is the pause before a failed transfer is sent again.
	transferRetryPause = 100 * mn.Millisecond
	// leaveTransferTimeout limits the final transfers of a leaving agent.
	leaveTransferTimeout = 1500 * mn.Millisecond
	// The endpoint's process is alive if aliveProbes connections in a row stay open
	// for aliveProbeTimeout.
	aliveProbes       = 2
	aliveProbeTimeout = 50 * mn.Millisecond
	// maxQueuedTransfers is the maximum number of roster changes whose transfers
	// wait to be sent.
	maxQueuedTransfers = 1024
)

// callSync applies roster changes to an agent's table of calls, and transfers the state of
// calls to the agents that become homes of their keys.
type callSync struct {
	*base
	table    *calls.Table
	client   *agent.Client
	outgoing chan map[mn.VMID]calls.Transfer

	mu      sync.Mutex
	members map[mn.VMID]mn.Incarnation
	offset  mn.Offset
}

// newCallSync returns a callSync that applies the records of b's control stream from now
// on.
func newCallSync(b *base, freshness mn.FreshnessChecker) *callSync {
	k := &callSync{
		base:     b,
		table:    calls.New(calls.DefaultConfig(b.self.VM, b.self.Incarnation), b.clock, freshness),
		client:   agent.New(b.conns),
		outgoing: make(chan map[mn.VMID]calls.Transfer, maxQueuedTransfers),
		members:  map[mn.VMID]mn.Incarnation{},
	}
	b.controlState.OnRecord(k.onRecord)
	return k
}

// onRecord is the [conf.RecordHook].
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

// applyRecord applies r to the members and reports whether they have changed.
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

// removeMember removes vm if its incarnation is the given one, and reports whether it did.
func (k *callSync) removeMember(vm mn.VMID, incarnation mn.Incarnation) bool {
	if have, ok := k.members[vm]; !ok || have != incarnation {
		return false
	}
	delete(k.members, vm)
	return true
}

// syncRoster replaces the members by those of the view if records were skipped, as they
// are after a snapshot.
func (k *callSync) syncRoster() {
	v := k.controlState.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resetRoster(v)
}

// resetRoster replaces the members by those of v, which may come from a snapshot. Unless
// the members are unchanged, it marks a roster gap in the table, and marks the pool as new
// if it has never had an agent.
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

// enqueue queues transfers without blocking the state machine. If the queue is full, it
// drops them.
func (k *callSync) enqueue(transfers map[mn.VMID]calls.Transfer) {
	if len(transfers) == 0 {
		return
	}
	select {
	case k.outgoing <- transfers:
	default:
		k.log.WithField("event", "handover_dropped").Warnf("%d roster changes are queued; dropped transfers to %d agents", len(k.outgoing), len(transfers))
	}
}

// run sends transfers and late outcomes until ctx is done.
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

// deliver sends m until its recipient has acknowledged it or rejected it as stale or is no
// longer a member, or ctx is done.
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

// transferAll makes the final transfers of a leaving agent to all other agents that can be
// reached.
func (k *callSync) transferAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTransferTimeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	for vm, m := range k.table.Leave() {
		wg.Go(func() { k.deliver(ctx, vm, m) })
	}
	wg.Wait()
}

// transferLateOutcomes transfers the outcomes of calls that were still running when
// transferAll was called.
func (k *callSync) transferLateOutcomes(ctx context.Context) {
	for vm, m := range k.table.TakeLateOutcomes() {
		k.deliver(ctx, vm, m)
	}
}

// publishMetrics publishes the sizes of the table and the answers, and the number of
// quarantined fingerprints.
func (k *callSync) publishMetrics(answers *replay.Store[*meshpb.Frame], tracker *poison.Tracker) {
	expvar.Publish("calls_remembered", expvar.Func(func() any {
		n, _ := k.table.Size()
		return n
	}))
	expvar.Publish("calls_answer_bytes", expvar.Func(func() any {
		_, n := k.table.Size()
		return n
	}))
	expvar.Publish("generation_bytes", expvar.Func(func() any { return answers.Bytes() }))
	expvar.Publish("quarantined", expvar.Func(func() any { return tracker.Quarantined() }))
}

// newCrashTracker returns a tracker that counts the crashes in the control stream.
func newCrashTracker(b *base) *poison.Tracker {
	t := poison.New(poison.DefaultConfig(), b.clock)
	b.controlState.OnRecord(func(_ mn.Offset, r *mn.Record, v conf.ApplyResult) {
		if r.Crash != nil && v.Err == nil {
			t.Add(*r.Crash)
		}
	})
	return t
}

// reportCrash appends a crash to the control stream in the background, and retries for a
// minute.
func (b *base) reportCrash(crash mn.CrashRecord) {
	rec := &mn.Record{Version: mn.RecordVersion, ID: mn.NewRecordID(), Writer: b.self.VM, Crash: &crash}
	b.log.WithField("event", "endpoint_crashed").WithField("fingerprint", crash.Fingerprint).Warn()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), mn.Minute.Duration())
		defer cancel()
		for ctx.Err() == nil && b.append(ctx, rec) != nil {
			_ = b.clock.Sleep(ctx, mn.Second)
		}
	}()
}

// configureCalls sets the fields of c with which the server remembers requests and tracks
// crashes.
func (a *Agent) configureCalls(c *entry.Config) {
	a.callSync = newCallSync(a.base, c.Freshness)
	tracker := newCrashTracker(a.base)
	c.Calls = a.callSync.table
	c.Answers = replay.New[*meshpb.Frame](replay.DefaultConfig(), a.clock)
	c.CrashTracker = tracker
	c.Quarantine = poison.NewQuarantine(tracker)
	c.ReportCrash = a.reportCrash
	c.EndpointAlive = a.endpointAlive
	a.callSync.publishMetrics(c.Answers, tracker)
}

// endpointAlive reports whether the endpoint's process accepts connections and keeps them
// open. A single accepted connection doesn't show that: a process that ends closes its
// connections before its listener, so a connection made in between is reset a moment
// later.
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
