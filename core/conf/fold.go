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
	// maxRecentIDs bounds how many record ids a fold remembers to drop repeats.
	maxRecentIDs = 2048
	// maxRecentEntries bounds how many records a fold keeps for relaying.
	maxRecentEntries = 4096
)

// ErrGap says that entries don't follow on the fold's offset.
var ErrGap = errors.New("log entries have a gap")

// ApplyResult says what became of a record.
type ApplyResult struct {
	Offset mn.Offset
	ID     mn.RecordID
	// Err is nil for a valid record. A void change has code Conflict.
	Err *mn.Error
}

// RecordHook is called for a record after it was folded. It must not block and must
// not call the fold.
type RecordHook func(off mn.Offset, r *mn.Record, v ApplyResult)

// StateMachine turns records into views. It is safe for concurrent use.
type StateMachine struct {
	// latest is view for readers, who take no lock.
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

// New returns a fold before the first record.
func New() *StateMachine {
	f := &StateMachine{
		changed:      make(chan struct{}),
		recentIDs:    map[mn.RecordID]bool{},
		waiters:      map[mn.RecordID]chan ApplyResult{},
		snapshotOnly: newSnapshotOnlyState(),
		rosters:      []rosterAt{{}},
	}
	f.publish(emptyView())
	return f
}

// publish makes v the fold's view, after the hooks have it.
func (f *StateMachine) publish(v *mn.View) {
	f.view = v
	for _, h := range f.viewHooks {
		h(v)
	}
	f.latest.Store(v)
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

// View implements [mn.Views].
func (f *StateMachine) View() *mn.View { return f.latest.Load() }

// Changed implements [mn.Views].
func (f *StateMachine) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// OnRecord has hook called for every record from now on, in log order. What a
// snapshot holds besides the view (intents, poisons, shares) is given to hook
// as records of their own, both now and when a snapshot is restored.
func (f *StateMachine) OnRecord(hook RecordHook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordHooks = append(f.recordHooks, hook)
	f.snapshotOnly.replay(f.view.Offset, hook)
}

// OnView has hook called with the present view and with every later one, in
// order and before it is returned by View. A view that does not follow on the
// offset of the one before comes from a snapshot. The hook must not block and
// must not call the fold.
func (f *StateMachine) OnView(hook func(*mn.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.viewHooks = append(f.viewHooks, hook)
	if f.view.Offset > 0 {
		hook(f.view)
	}
}

// AwaitResult returns a channel that receives the verdict on the first record of
// that id which is folded from now on. The caller calls stop when done.
func (f *StateMachine) AwaitResult(id mn.RecordID) (verdicts <-chan ApplyResult, stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan ApplyResult, 1)
	f.waiters[id] = ch
	return ch, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.waiters, id)
	}
}

// RecordsSince returns the records from offset from on that the fold still keeps, at
// most limit of them. It returns false if the first of them is gone.
func (f *StateMachine) RecordsSince(from mn.Offset, limit int) ([]mn.LogEntry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from > f.view.Offset {
		return nil, true
	}
	if len(f.recentEntries) == 0 || from < f.recentEntries[0].Offset {
		return nil, false
	}
	rest := f.recentEntries[from-f.recentEntries[0].Offset:]
	return rest[:min(limit, len(rest))], true
}

// Apply folds the entries in. Entries at or below the view's offset are
// dropped, so that sources may overlap. Entries that leave a gap are refused
// with [ErrGap]. An entry that can't be decoded stops the fold before it, with
// the error of [mn.DecodeRecord].
func (f *StateMachine) Apply(entries []mn.LogEntry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.view
	var failed error
	for _, e := range entries {
		if e.Offset <= f.view.Offset {
			continue
		}
		if failed = f.applyNext(e); failed != nil {
			break
		}
	}
	if f.view != before {
		f.notifyChanged()
	}
	return failed
}

func (f *StateMachine) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *StateMachine) applyNext(e mn.LogEntry) error {
	if e.Offset != f.view.Offset+1 {
		return ErrGap
	}
	r, err := mn.DecodeRecord(e.Data)
	if err != nil {
		return err
	}
	next := *f.view
	next.Offset = e.Offset
	verdict := ApplyResult{Offset: e.Offset, ID: r.ID}
	if f.recentIDs[r.ID] {
		verdict.Err = mn.Errorf(mn.Conflict, "record %s at offset %d repeats an earlier one", r.ID, e.Offset)
	} else {
		f.rememberID(r)
		verdict.Err = applyRecord(&next, e.Offset, r)
	}
	if changesRoster(r) && verdict.Err == nil {
		f.recordRoster(&next)
	}
	f.publish(&next)
	f.bufferEntry(e)
	if verdict.Err == nil {
		f.snapshotOnly.apply(r)
	}
	f.deliverResult(e.Offset, r, verdict)
	return nil
}

func (f *StateMachine) bufferEntry(e mn.LogEntry) {
	f.recentEntries = append(f.recentEntries, e)
	if len(f.recentEntries) > maxRecentEntries {
		f.recentEntries = f.recentEntries[1:]
	}
}

func (f *StateMachine) deliverResult(off mn.Offset, r *mn.Record, v ApplyResult) {
	if ch, ok := f.waiters[r.ID]; ok {
		ch <- v
		delete(f.waiters, r.ID)
	}
	for _, h := range f.recordHooks {
		h(off, r, v)
	}
}

// rememberID notes r's id. Records of the lease are idempotent by themselves
// and are too many to remember.
func (f *StateMachine) rememberID(r *mn.Record) {
	if r.Claim != nil || r.Renewal != nil || r.Release != nil || r.Snapshot != nil {
		return
	}
	f.recentIDs[r.ID] = true
	f.idOrder = append(f.idOrder, r.ID)
	if len(f.idOrder) > maxRecentIDs {
		delete(f.recentIDs, f.idOrder[0])
		f.idOrder = f.idOrder[1:]
	}
}

// applyRecord applies r to v, which no other goroutine sees yet. A snapshot changes
// nothing: whoever folds it in its turn has already folded what it covers.
func applyRecord(v *mn.View, off mn.Offset, r *mn.Record) *mn.Error {
	var valid bool
	if v.Lease, valid = lease.Apply(v.Lease, off, r); !valid {
		return mn.Errorf(mn.LeaseLost, "record %s at offset %d: lease is at offset %d", r.ID, off, v.Lease.Last)
	}
	switch {
	case r.Change != nil:
		return applyChange(v, off, r.Change)
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
