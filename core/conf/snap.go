package conf

import (
	"cmp"
	"maps"
	"slices"

	mn "mustardnotch"
)

// maxCrashRecords bounds the number of crash records that a state machine keeps.
const maxCrashRecords = 512

type intentKey struct {
	pool       mn.PoolID
	dataCentre mn.DataCentre
}

type rateShareKey struct {
	customer mn.CustomerID
	to       mn.VMID
}

// snapshotOnlyState is the state that is part of snapshots but not of views.
type snapshotOnlyState struct {
	intents    map[intentKey]mn.Intent
	rateShares map[rateShareKey]mn.RateShare
	crashes    []mn.CrashRecord
}

func newSnapshotOnlyState() snapshotOnlyState {
	return snapshotOnlyState{intents: map[intentKey]mn.Intent{}, rateShares: map[rateShareKey]mn.RateShare{}}
}

func (s *snapshotOnlyState) apply(r *mn.Record) {
	switch {
	case r.Intent != nil:
		s.intents[intentKey{r.Intent.Pool, r.Intent.DataCentre}] = *r.Intent
	case r.RateShare != nil:
		delete(s.rateShares, rateShareKey{r.RateShare.Customer, r.RateShare.From})
		s.rateShares[rateShareKey{r.RateShare.Customer, r.RateShare.To}] = *r.RateShare
	case r.Crash != nil:
		s.crashes = append(s.crashes, *r.Crash)
		s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashRecords):]
	}
}

// replay calls hook with the contents of s as records at the given offset.
func (s *snapshotOnlyState) replay(offset mn.Offset, hook RecordHook) {
	emit := func(r mn.Record) {
		hook(offset, &r, ApplyResult{Offset: offset})
	}
	for _, i := range s.sortedIntents() {
		emit(mn.Record{Version: mn.RecordVersion, Intent: &i})
	}
	for _, share := range s.sortedRateShares() {
		emit(mn.Record{Version: mn.RecordVersion, RateShare: &share})
	}
	for _, c := range s.crashes {
		emit(mn.Record{Version: mn.RecordVersion, Crash: &c})
	}
}

func (s *snapshotOnlyState) sortedIntents() []mn.Intent {
	return slices.SortedFunc(maps.Values(s.intents), func(a, b mn.Intent) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre))
	})
}

func (s *snapshotOnlyState) sortedRateShares() []mn.RateShare {
	return slices.SortedFunc(maps.Values(s.rateShares), func(a, b mn.RateShare) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.To, b.To))
	})
}

// Snapshot returns the state at the current offset. Two state machines that
// have applied the same prefix return equal snapshots.
func (sm *StateMachine) Snapshot() mn.Snapshot {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	v := sm.view
	return mn.Snapshot{
		Offset:    v.Offset,
		Resources: SortedResources(v),
		Roster: slices.SortedFunc(maps.Values(v.Roster), func(a, b mn.Member) int {
			return cmp.Compare(a.VM, b.VM)
		}),
		Leaving:     sortedLeaving(v),
		ServedPools: slices.Sorted(maps.Keys(v.ServedPools)),
		Lease:       v.Lease,
		SeenIDs:     slices.Clone(sm.idOrder),
		Intents:     sm.snapshotOnly.sortedIntents(),
		Crashes:     slices.Clone(sm.snapshotOnly.crashes),
		RateShares:  sm.snapshotOnly.sortedRateShares(),
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

// Restore replaces the state with s if s is ahead of it, and reports whether it
// did. An older snapshot changes nothing.
func (sm *StateMachine) Restore(s mn.Snapshot) bool {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	if s.Offset <= sm.view.Offset {
		return false
	}
	sm.publish(viewOf(s))
	sm.idOrder = slices.Clone(s.SeenIDs)
	sm.recentIDs = make(map[mn.RecordID]bool, len(s.SeenIDs))
	for _, id := range s.SeenIDs {
		sm.recentIDs[id] = true
	}
	sm.recentEntries = nil
	sm.rosters = []rosterAt{{offset: s.Offset, members: sm.view.Roster}}
	sm.snapshotOnly = snapshotOnlyStateOf(s)
	for _, h := range sm.recordHooks {
		sm.snapshotOnly.replay(s.Offset, h)
	}
	sm.notifyChanged()
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
	state := newSnapshotOnlyState()
	state.crashes = slices.Clone(s.Crashes)
	for _, i := range s.Intents {
		state.intents[intentKey{i.Pool, i.DataCentre}] = i
	}
	for _, x := range s.RateShares {
		state.rateShares[rateShareKey{x.Customer, x.To}] = x
	}
	return state
}

// SortedResources returns the resources of v sorted by kind and name.
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
