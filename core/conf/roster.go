package conf

import mn "mustardnotch"

// maxRosters bounds how many past rosters a fold remembers.
const maxRosters = 1024

// rosterAt is the roster in force from offset on.
type rosterAt struct {
	offset  mn.Offset
	members map[mn.VMID]mn.Member
}

func changesRoster(r *mn.Record) bool {
	return r.Join != nil || r.Leave != nil || r.Remove != nil
}

func (f *StateMachine) recordRoster(v *mn.View) {
	f.rosters = append(f.rosters, rosterAt{v.Offset, v.Roster})
	if len(f.rosters) > maxRosters {
		f.rosters = f.rosters[1:]
	}
}

// RostersSince returns every roster that was in force at offset after or later, the
// present one last. It returns false if the fold does not remember all of them.
func (f *StateMachine) RostersSince(after mn.Offset) ([]map[mn.VMID]mn.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := len(f.rosters) - 1
	for first > 0 && f.rosters[first].offset > after {
		first--
	}
	var all []map[mn.VMID]mn.Member
	for _, r := range f.rosters[first:] {
		all = append(all, r.members)
	}
	return all, f.rosters[first].offset <= after
}
