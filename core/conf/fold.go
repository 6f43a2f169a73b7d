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
	// seenLimit bounds how many record ids a fold remembers to drop repeats.
	seenLimit = 2048
	// tailLimit bounds how many records a fold keeps for relaying.
	tailLimit = 4096
)

// ErrGap says that entries don't follow on the fold's offset.
var ErrGap = errors.New("log entries have a gap")

// Verdict says what became of a record.
type Verdict struct {
	Offset mn.Offset
	ID     mn.RecordID
	// Err is nil for a valid record. A void change has code Conflict.
	Err *mn.Error
}

// Hook is called for a record after it was folded. It must not block and must
// not call the fold.
type Hook func(off mn.Offset, r *mn.Record, v Verdict)

// Fold turns records into views. It is safe for concurrent use.
type Fold struct {
	// latest is view for readers, who take no lock.
	latest  atomic.Pointer[mn.View]
	mu      sync.Mutex
	view    *mn.View
	changed chan struct{}
	seen    map[mn.RecordID]bool
	order   []mn.RecordID
	tail    []mn.LogEntry
	hooks   []Hook
	viewers []func(*mn.View)
	waiters map[mn.RecordID]chan Verdict
	kept    kept
	rosters []rosterAt
}

// New returns a fold before the first record.
func New() *Fold {
	f := &Fold{
		changed: make(chan struct{}),
		seen:    map[mn.RecordID]bool{},
		waiters: map[mn.RecordID]chan Verdict{},
		kept:    newKept(),
		rosters: []rosterAt{{}},
	}
	f.publish(emptyView())
	return f
}

// publish makes v the fold's view, after the hooks have it.
func (f *Fold) publish(v *mn.View) {
	f.view = v
	for _, h := range f.viewers {
		h(v)
	}
	f.latest.Store(v)
}

func emptyView() *mn.View {
	return &mn.View{
		Resources: map[mn.ResourceName]mn.Versioned{},
		Keys:      map[mn.KeyHash]mn.Key{},
		Roster:    map[mn.VMID]mn.Member{},
		Leaving:   map[mn.VMID]mn.Incarnation{},
		Served:    map[mn.PoolID]bool{},
	}
}

// View implements [mn.Views].
func (f *Fold) View() *mn.View { return f.latest.Load() }

// Changed implements [mn.Views].
func (f *Fold) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// OnRecord has hook called for every record from now on, in log order. What a
// snapshot holds besides the view (intents, poisons, shares) is given to hook
// as records of their own, both now and when a snapshot is restored.
func (f *Fold) OnRecord(hook Hook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hooks = append(f.hooks, hook)
	f.kept.replay(f.view.Offset, hook)
}

// OnView has hook called with the present view and with every later one, in
// order and before it is returned by View. A view that does not follow on the
// offset of the one before comes from a snapshot. The hook must not block and
// must not call the fold.
func (f *Fold) OnView(hook func(*mn.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.viewers = append(f.viewers, hook)
	if f.view.Offset > 0 {
		hook(f.view)
	}
}

// Await returns a channel that receives the verdict on the first record of
// that id which is folded from now on. The caller calls stop when done.
func (f *Fold) Await(id mn.RecordID) (verdicts <-chan Verdict, stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan Verdict, 1)
	f.waiters[id] = ch
	return ch, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.waiters, id)
	}
}

// Since returns the records from offset from on that the fold still keeps, at
// most limit of them. It returns false if the first of them is gone.
func (f *Fold) Since(from mn.Offset, limit int) ([]mn.LogEntry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from > f.view.Offset {
		return nil, true
	}
	if len(f.tail) == 0 || from < f.tail[0].Offset {
		return nil, false
	}
	rest := f.tail[from-f.tail[0].Offset:]
	return rest[:min(limit, len(rest))], true
}

// Apply folds the entries in. Entries at or below the view's offset are
// dropped, so that sources may overlap. Entries that leave a gap are refused
// with [ErrGap]. An entry that can't be decoded stops the fold before it, with
// the error of [mn.DecodeRecord].
func (f *Fold) Apply(entries []mn.LogEntry) error {
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
		f.wake()
	}
	return failed
}

func (f *Fold) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fold) applyNext(e mn.LogEntry) error {
	if e.Offset != f.view.Offset+1 {
		return ErrGap
	}
	r, err := mn.DecodeRecord(e.Data)
	if err != nil {
		return err
	}
	next := *f.view
	next.Offset = e.Offset
	verdict := Verdict{Offset: e.Offset, ID: r.ID}
	if f.seen[r.ID] {
		verdict.Err = mn.Errorf(mn.Conflict, "record %s at offset %d repeats an earlier one", r.ID, e.Offset)
	} else {
		f.remember(r)
		verdict.Err = fold(&next, e.Offset, r)
	}
	if joinsOrLeaves(r) && verdict.Err == nil {
		f.keepRoster(&next)
	}
	f.publish(&next)
	f.keepTail(e)
	if verdict.Err == nil {
		f.kept.keep(r)
	}
	f.tell(e.Offset, r, verdict)
	return nil
}

func (f *Fold) keepTail(e mn.LogEntry) {
	f.tail = append(f.tail, e)
	if len(f.tail) > tailLimit {
		f.tail = f.tail[1:]
	}
}

func (f *Fold) tell(off mn.Offset, r *mn.Record, v Verdict) {
	if ch, ok := f.waiters[r.ID]; ok {
		ch <- v
		delete(f.waiters, r.ID)
	}
	for _, h := range f.hooks {
		h(off, r, v)
	}
}

// remember notes r's id. Records of the lease are idempotent by themselves
// and are too many to remember.
func (f *Fold) remember(r *mn.Record) {
	if r.Claim != nil || r.Renewal != nil || r.Release != nil || r.Snapshot != nil {
		return
	}
	f.seen[r.ID] = true
	f.order = append(f.order, r.ID)
	if len(f.order) > seenLimit {
		delete(f.seen, f.order[0])
		f.order = f.order[1:]
	}
}

// fold applies r to v, which no other goroutine sees yet. A snapshot changes
// nothing: whoever folds it in its turn has already folded what it covers.
func fold(v *mn.View, off mn.Offset, r *mn.Record) *mn.Error {
	var valid bool
	if v.Holder, valid = lease.Fold(v.Holder, off, r); !valid {
		return mn.Errorf(mn.LeaseLost, "record %s at offset %d: lease is at offset %d", r.ID, off, v.Holder.Last)
	}
	switch {
	case r.Change != nil:
		return foldChange(v, off, r.Change)
	case r.Join != nil:
		foldJoin(v, r.Join)
	case r.Leave != nil:
		foldLeave(v, r.Leave)
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
	if term == v.Holder.Term {
		return nil
	}
	return mn.Errorf(mn.OrderStale, "record has term %d, the lease has %d", term, v.Holder.Term)
}

func foldJoin(v *mn.View, m *mn.Member) {
	v.Roster = maps.Clone(v.Roster)
	v.Roster[m.VM] = *m
	if m.Role == mn.RoleAgent && !v.Served[m.Pool] {
		v.Served = maps.Clone(v.Served)
		v.Served[m.Pool] = true
	}
}

func foldLeave(v *mn.View, d *mn.Departure) {
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
