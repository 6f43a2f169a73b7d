// Package conf folds the control stream of the platform's log into views of
// the declared configuration, the roster and the control lease.
package conf

import (
	"maps"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/lease"
)

// seenLimit bounds how many record ids a fold remembers to drop repeats.
const seenLimit = 8192

// Verdict says what became of a record.
type Verdict struct {
	Offset mn.Offset
	ID     mn.RecordID
	// Err is nil for a valid record. A void change has code Conflict.
	Err *mn.Error
}

// Fold turns records into views. It is safe for concurrent use.
type Fold struct {
	mu      sync.Mutex
	view    *mn.View
	changed chan struct{}
	seen    map[mn.RecordID]bool
	order   []mn.RecordID
	hooks   []func(off mn.Offset, r *mn.Record, v Verdict)
}

// New returns a fold before the first record.
func New() *Fold {
	return &Fold{
		view: &mn.View{
			Resources: map[mn.ResourceName]mn.Versioned{},
			Keys:      map[mn.KeyHash]mn.Key{},
			Roster:    map[mn.VMID]mn.Member{},
			Leaving:   map[mn.VMID]mn.Incarnation{},
		},
		changed: make(chan struct{}),
		seen:    map[mn.RecordID]bool{},
	}
}

// View implements [mn.Views].
func (f *Fold) View() *mn.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// Changed implements [mn.Views].
func (f *Fold) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// OnRecord has hook called for every record from now on, in log order, after
// it was folded. Hooks must not block and must not call the fold.
func (f *Fold) OnRecord(hook func(off mn.Offset, r *mn.Record, v Verdict)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hooks = append(f.hooks, hook)
}

// Apply folds the entries in. Entries at or below the view's offset are
// dropped, so that relays may overlap. An entry that can't be decoded stops
// the fold before it, with the error of [mn.DecodeRecord].
func (f *Fold) Apply(entries []mn.LogEntry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.view
	var failed error
	for _, e := range entries {
		if e.Offset <= f.view.Offset {
			continue
		}
		r, err := mn.DecodeRecord(e.Data)
		if err != nil {
			failed = err
			break
		}
		f.applyOne(e.Offset, r)
	}
	if f.view != before {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return failed
}

func (f *Fold) applyOne(off mn.Offset, r *mn.Record) {
	next := clone(f.view)
	next.Offset = off
	verdict := Verdict{Offset: off, ID: r.ID}
	if f.seen[r.ID] {
		verdict.Err = mn.Errorf(mn.Conflict, "record %s at offset %d repeats an earlier one", r.ID, off)
	} else {
		f.remember(r.ID)
		verdict.Err = fold(next, off, r)
	}
	f.view = next
	for _, h := range f.hooks {
		h(off, r, verdict)
	}
}

func (f *Fold) remember(id mn.RecordID) {
	f.seen[id] = true
	f.order = append(f.order, id)
	if len(f.order) > seenLimit {
		delete(f.seen, f.order[0])
		f.order = f.order[1:]
	}
}

// fold applies r to v, which no other goroutine sees yet.
func fold(v *mn.View, off mn.Offset, r *mn.Record) *mn.Error {
	var valid bool
	if v.Holder, valid = lease.Fold(v.Holder, off, r); !valid {
		return mn.Errorf(mn.LeaseLost, "record %s at offset %d: lease is at offset %d", r.ID, off, v.Holder.Last)
	}
	switch {
	case r.Change != nil:
		return foldChange(v, off, r.Change)
	case r.Join != nil:
		v.Roster = maps.Clone(v.Roster)
		v.Roster[r.Join.VM] = *r.Join
	case r.Leave != nil:
		foldLeave(v, r.Leave)
	case r.Remove != nil:
		if r.Remove.Term != v.Holder.Term {
			return mn.Errorf(mn.OrderStale, "removal of %s has term %d, lease has %d", r.Remove.VM, r.Remove.Term, v.Holder.Term)
		}
		removeMember(v, r.Remove.VM, r.Remove.Incarnation)
	}
	return nil
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

func foldChange(v *mn.View, off mn.Offset, c *mn.Change) *mn.Error {
	for _, e := range c.Edits {
		if have := v.Resources[e.Name].Version; have != e.Base {
			return mn.Errorf(mn.Conflict, "%s is at version %d, the change is based on version %d", e.Name, have, e.Base)
		}
		if e.Set != nil && e.Set.Name() != e.Name {
			return mn.Errorf(mn.BadResource, "edit of %q sets %q", e.Name, e.Set.Name())
		}
	}
	v.Resources = maps.Clone(v.Resources)
	v.Keys = maps.Clone(v.Keys)
	for _, e := range c.Edits {
		if k := v.Resources[e.Name].Resource.Key; k != nil {
			delete(v.Keys, k.Hash)
		}
		if e.Set == nil {
			delete(v.Resources, e.Name)
			continue
		}
		v.Resources[e.Name] = mn.Versioned{Resource: *e.Set, Version: off}
		if k := e.Set.Key; k != nil {
			v.Keys[k.Hash] = *k
		}
	}
	return nil
}

func clone(v *mn.View) *mn.View {
	c := *v
	return &c
}
