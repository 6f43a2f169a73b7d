package conf

import (
	"cmp"
	"maps"
	"slices"

	mn "mustardnotch"
)

// maxPoisons bounds how many crash records a fold keeps.
const maxPoisons = 512

type intentKey struct {
	pool       mn.PoolID
	dataCentre mn.DataCentre
}

type shareKey struct {
	customer mn.CustomerID
	to       mn.VMID
}

// snapshotOnlyState holds what snapshots carry besides the view.
type snapshotOnlyState struct {
	intents map[intentKey]mn.Intent
	shares  map[shareKey]mn.RateShare
	poisons []mn.CrashRecord
}

func newSnapshotOnlyState() snapshotOnlyState {
	return snapshotOnlyState{intents: map[intentKey]mn.Intent{}, shares: map[shareKey]mn.RateShare{}}
}

func (k *snapshotOnlyState) apply(r *mn.Record) {
	switch {
	case r.Intent != nil:
		k.intents[intentKey{r.Intent.Pool, r.Intent.DataCentre}] = *r.Intent
	case r.RateShare != nil:
		delete(k.shares, shareKey{r.RateShare.Customer, r.RateShare.From})
		k.shares[shareKey{r.RateShare.Customer, r.RateShare.To}] = *r.RateShare
	case r.Crash != nil:
		k.poisons = append(k.poisons, *r.Crash)
		k.poisons = k.poisons[max(0, len(k.poisons)-maxPoisons):]
	}
}

// replay gives hook what is kept as records at offset off.
func (k *snapshotOnlyState) replay(off mn.Offset, hook RecordHook) {
	give := func(r mn.Record) {
		hook(off, &r, ApplyResult{Offset: off})
	}
	for _, i := range k.sortedIntents() {
		give(mn.Record{Version: mn.RecordVersion, Intent: &i})
	}
	for _, s := range k.sortedShares() {
		give(mn.Record{Version: mn.RecordVersion, RateShare: &s})
	}
	for _, p := range k.poisons {
		give(mn.Record{Version: mn.RecordVersion, Crash: &p})
	}
}

func (k *snapshotOnlyState) sortedIntents() []mn.Intent {
	return slices.SortedFunc(maps.Values(k.intents), func(a, b mn.Intent) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre))
	})
}

func (k *snapshotOnlyState) sortedShares() []mn.RateShare {
	return slices.SortedFunc(maps.Values(k.shares), func(a, b mn.RateShare) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.To, b.To))
	})
}

// Snapshot returns the state as of the fold's offset. Two folds of the same
// prefix return the same.
func (f *StateMachine) Snapshot() mn.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view
	return mn.Snapshot{
		Offset:    v.Offset,
		Resources: SortedResources(v),
		Roster: slices.SortedFunc(maps.Values(v.Roster), func(a, b mn.Member) int {
			return cmp.Compare(a.VM, b.VM)
		}),
		Leaving:     sortedLeaving(v),
		ServedPools: slices.Sorted(maps.Keys(v.ServedPools)),
		Lease:       v.Lease,
		SeenIDs:     slices.Clone(f.idOrder),
		Intents:     f.snapshotOnly.sortedIntents(),
		Crashes:     slices.Clone(f.snapshotOnly.poisons),
		RateShares:  f.snapshotOnly.sortedShares(),
	}
}

func sortedLeaving(v *mn.View) []mn.Departure {
	var all []mn.Departure
	for vm, inc := range v.Leaving {
		all = append(all, mn.Departure{VM: vm, Incarnation: inc})
	}
	slices.SortFunc(all, func(a, b mn.Departure) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

// Restore takes s over if it is ahead of the fold, and says whether it was. A
// stale snapshot changes nothing.
func (f *StateMachine) Restore(s mn.Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Offset <= f.view.Offset {
		return false
	}
	f.publish(viewOf(s))
	f.idOrder = slices.Clone(s.SeenIDs)
	f.recentIDs = make(map[mn.RecordID]bool, len(s.SeenIDs))
	for _, id := range s.SeenIDs {
		f.recentIDs[id] = true
	}
	f.recentEntries = nil
	f.rosters = []rosterAt{{offset: s.Offset, members: f.view.Roster}}
	f.snapshotOnly = snapshotOnlyStateOf(s)
	for _, h := range f.recordHooks {
		f.snapshotOnly.replay(s.Offset, h)
	}
	f.notifyChanged()
	return true
}

func viewOf(s mn.Snapshot) *mn.View {
	v := emptyView()
	v.Offset = s.Offset
	v.Lease = s.Lease
	for _, r := range s.Resources {
		v.Resources[r.Resource.Name()] = r
		if k := r.Resource.Key; k != nil {
			v.Keys[k.Hash] = *k
		}
	}
	for _, m := range s.Roster {
		v.Roster[m.VM] = m
	}
	for _, d := range s.Leaving {
		v.Leaving[d.VM] = d.Incarnation
	}
	for _, p := range s.ServedPools {
		v.ServedPools[p] = true
	}
	return v
}

func snapshotOnlyStateOf(s mn.Snapshot) snapshotOnlyState {
	k := newSnapshotOnlyState()
	k.poisons = slices.Clone(s.Crashes)
	for _, i := range s.Intents {
		k.intents[intentKey{i.Pool, i.DataCentre}] = i
	}
	for _, x := range s.RateShares {
		k.shares[shareKey{x.Customer, x.To}] = x
	}
	return k
}

// SortedResources returns the resources of v by kind and name.
func SortedResources(v *mn.View) []mn.Versioned {
	return slices.SortedFunc(maps.Values(v.Resources), func(a, b mn.Versioned) int {
		return compareNames(a.Resource.Name(), b.Resource.Name())
	})
}

func compareNames(a, b mn.ResourceName) int {
	return cmp.Or(cmp.Compare(kindOrder(a.Kind), kindOrder(b.Kind)), cmp.Compare(a.Name, b.Name))
}

func kindOrder(k mn.ResourceKind) int {
	return slices.Index([]mn.ResourceKind{mn.KindCustomer, mn.KindModel, mn.KindPool, mn.KindKey}, k)
}
