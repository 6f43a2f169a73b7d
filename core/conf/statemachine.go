package conf

import (
	"errors"
	"maps"
	"sync"
	"sync/atomic"

	mn "mustardnotch"
	"mustardnotch/core/lease"
)

const (
	// maxRecentIDs bounds the number of record IDs that a state machine
	// remembers in order to drop repeats.
	maxRecentIDs = 2048
	// maxRecentEntries bounds the number of log entries that a state machine
	// keeps for relaying.
	maxRecentEntries = 4096
)

// ErrGap means that entries are missing between the offset of the state machine
// and a log entry to apply.
var ErrGap = errors.New("log entries have a gap")

// ApplyResult is the result of applying a record.
type ApplyResult struct {
	Offset mn.Offset
	ID     mn.RecordID
	// Err is nil if the record is valid. A change that is based on an outdated
	// version has code [mn.Conflict].
	Err *mn.Error
}

// RecordHook is called for a record after it was applied. It must not block and
// must not call the state machine.
type RecordHook func(offset mn.Offset, r *mn.Record, res ApplyResult)

// StateMachine applies the records of the control stream and publishes the
// resulting views. It is safe for concurrent use.
type StateMachine struct {
	// latest is the same as view, for readers that hold no lock.
	latest        atomic.Pointer[mn.View]
	mu            sync.Mutex
	view          *mn.View
	changed       chan struct{}
	recentIDs     map[mn.RecordID]bool
	idOrder       []mn.RecordID
	recentEntries []mn.LogEntry
	recordHooks   []RecordHook
	viewHooks     []func(*mn.View)
	waiters       map[mn.RecordID]chan ApplyResult
	snapshotOnly  snapshotOnlyState
	rosters       []rosterAt
}

// New returns a state machine that has applied no record.
func New() *StateMachine {
	sm := &StateMachine{
		changed:      make(chan struct{}),
		recentIDs:    map[mn.RecordID]bool{},
		waiters:      map[mn.RecordID]chan ApplyResult{},
		snapshotOnly: newSnapshotOnlyState(),
		rosters:      []rosterAt{{}},
	}
	sm.publish(emptyView())
	return sm
}

// publish calls the view hooks with v and then makes it the current view.
func (sm *StateMachine) publish(v *mn.View) {
	sm.view = v
	for _, h := range sm.viewHooks {
		h(v)
	}
	sm.latest.Store(v)
}

func emptyView() *mn.View {
	return &mn.View{
		Resources:   map[mn.ResourceName]mn.Versioned{},
		Keys:        map[mn.KeyHash]mn.Key{},
		Roster:      map[mn.VMID]mn.Member{},
		Leaving:     map[mn.VMID]mn.Incarnation{},
		ServedPools: map[mn.PoolID]bool{},
	}
}

// View implements [mn.ViewSource].
func (sm *StateMachine) View() *mn.View { return sm.latest.Load() }

// Changed implements [mn.ViewSource].
func (sm *StateMachine) Changed() <-chan struct{} {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.changed
}

// OnRecord registers hook, which is called for every later record in log order.
// The contents of a snapshot that are not part of the view (intents, crash
// records, rate shares) are passed to hook as records of their own, both now
// and whenever a snapshot is restored.
func (sm *StateMachine) OnRecord(hook RecordHook) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.recordHooks = append(sm.recordHooks, hook)
	sm.snapshotOnly.replay(sm.view.Offset, hook)
}

// OnView registers hook, which is called for every later view, and calls it
// with the current view if any record has been applied. Views are passed in
// order, each before View returns it. A view whose offset does not directly
// follow that of the previous view comes from a snapshot. The hook must not
// block and must not call the state machine.
func (sm *StateMachine) OnView(hook func(*mn.View)) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.viewHooks = append(sm.viewHooks, hook)
	if sm.view.Offset > 0 {
		hook(sm.view)
	}
}

// AwaitResult returns a channel that receives the result of the first record
// with the given ID that is applied from now on. The caller must call stop when
// done.
func (sm *StateMachine) AwaitResult(id mn.RecordID) (results <-chan ApplyResult, stop func()) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	ch := make(chan ApplyResult, 1)
	sm.waiters[id] = ch
	return ch, func() {
		sm.mu.Lock()
		defer sm.mu.Unlock()
		delete(sm.waiters, id)
	}
}

// RecordsSince returns at most limit of the buffered records from offset from
// on. It returns false if the record at from is no longer buffered.
func (sm *StateMachine) RecordsSince(from mn.Offset, limit int) ([]mn.LogEntry, bool) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	if from > sm.view.Offset {
		return nil, true
	}
	if len(sm.recentEntries) == 0 || from < sm.recentEntries[0].Offset {
		return nil, false
	}
	rest := sm.recentEntries[from-sm.recentEntries[0].Offset:]
	return rest[:min(limit, len(rest))], true
}

// Apply applies entries. It skips entries at or below the offset of the view,
// so sources may overlap. It returns [ErrGap] at an entry that does not follow
// the offset directly. At an entry that can't be decoded it stops and returns
// the error of [mn.DecodeRecord].
func (sm *StateMachine) Apply(entries []mn.LogEntry) error {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	before := sm.view
	var applyErr error
	for _, e := range entries {
		if e.Offset <= sm.view.Offset {
			continue
		}
		if applyErr = sm.applyNext(e); applyErr != nil {
			break
		}
	}
	if sm.view != before {
		sm.notifyChanged()
	}
	return applyErr
}

func (sm *StateMachine) notifyChanged() {
	close(sm.changed)
	sm.changed = make(chan struct{})
}

func (sm *StateMachine) applyNext(e mn.LogEntry) error {
	if e.Offset != sm.view.Offset+1 {
		return ErrGap
	}
	r, err := mn.DecodeRecord(e.Data)
	if err != nil {
		return err
	}
	next := *sm.view
	next.Offset = e.Offset
	result := ApplyResult{Offset: e.Offset, ID: r.ID}
	if sm.recentIDs[r.ID] {
		result.Err = mn.Errorf(mn.Conflict, "record %s at offset %d repeats an earlier one", r.ID, e.Offset)
	} else {
		sm.rememberID(r)
		result.Err = applyRecord(&next, e.Offset, r)
	}
	if changesRoster(r) && result.Err == nil {
		sm.recordRoster(&next)
	}
	sm.publish(&next)
	sm.bufferEntry(e)
	if result.Err == nil {
		sm.snapshotOnly.apply(r)
	}
	sm.deliverResult(e.Offset, r, result)
	return nil
}

func (sm *StateMachine) bufferEntry(e mn.LogEntry) {
	sm.recentEntries = append(sm.recentEntries, e)
	if len(sm.recentEntries) > maxRecentEntries {
		sm.recentEntries = sm.recentEntries[1:]
	}
}

func (sm *StateMachine) deliverResult(offset mn.Offset, r *mn.Record, res ApplyResult) {
	if ch, ok := sm.waiters[r.ID]; ok {
		ch <- res
		delete(sm.waiters, r.ID)
	}
	for _, h := range sm.recordHooks {
		h(offset, r, res)
	}
}

// rememberID stores the ID of r in order to detect repeats. Repeats of lease
// and snapshot records are harmless, and lease records are too many to
// remember.
func (sm *StateMachine) rememberID(r *mn.Record) {
	if r.Claim != nil || r.Renewal != nil || r.Release != nil || r.Snapshot != nil {
		return
	}
	sm.recentIDs[r.ID] = true
	sm.idOrder = append(sm.idOrder, r.ID)
	if len(sm.idOrder) > maxRecentIDs {
		delete(sm.recentIDs, sm.idOrder[0])
		sm.idOrder = sm.idOrder[1:]
	}
}

// applyRecord applies r to v, which no other goroutine can see yet. A snapshot
// record changes nothing, since a state machine that reaches it has already
// applied the records that it covers.
func applyRecord(v *mn.View, offset mn.Offset, r *mn.Record) *mn.Error {
	var valid bool
	if v.Lease, valid = lease.Apply(v.Lease, offset, r); !valid {
		return mn.Errorf(mn.LeaseLost, "record %s at offset %d is void: the last valid record of the lease is at offset %d", r.ID, offset, v.Lease.Last)
	}
	switch {
	case r.Change != nil:
		return applyChange(v, offset, r.Change)
	case r.Join != nil:
		applyJoin(v, r.Join)
	case r.Leave != nil:
		applyLeave(v, r.Leave)
	case r.Remove != nil:
		if err := checkTerm(v, r.Remove.Term); err != nil {
			return err
		}
		removeMember(v, r.Remove.VM, r.Remove.Incarnation)
	case r.Intent != nil:
		return checkTerm(v, r.Intent.Term)
	}
	return nil
}

func checkTerm(v *mn.View, term mn.Term) *mn.Error {
	if term == v.Lease.Term {
		return nil
	}
	return mn.Errorf(mn.OrderStale, "record has term %d, the lease has %d", term, v.Lease.Term)
}

func applyJoin(v *mn.View, m *mn.Member) {
	v.Roster = maps.Clone(v.Roster)
	v.Roster[m.VM] = *m
	if m.Role == mn.RoleAgent && !v.ServedPools[m.Pool] {
		v.ServedPools = maps.Clone(v.ServedPools)
		v.ServedPools[m.Pool] = true
	}
}

func applyLeave(v *mn.View, d *mn.Departure) {
	if v.Roster[d.VM].Incarnation != d.Incarnation {
		return
	}
	if d.Done {
		removeMember(v, d.VM, d.Incarnation)
		return
	}
	v.Leaving = maps.Clone(v.Leaving)
	v.Leaving[d.VM] = d.Incarnation
}

func removeMember(v *mn.View, vm mn.VMID, inc mn.Incarnation) {
	if v.Roster[vm].Incarnation != inc {
		return
	}
	v.Roster = maps.Clone(v.Roster)
	delete(v.Roster, vm)
	v.Leaving = maps.Clone(v.Leaving)
	delete(v.Leaving, vm)
}
