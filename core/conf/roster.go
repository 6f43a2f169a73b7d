package conf

import mn "mustardnotch"

// maxRosters bounds the number of past rosters that a state machine remembers.
const maxRosters = 1024

// rosterAt is the roster that is in force from offset on.
type rosterAt struct {
	offset  mn.Offset
	members map[mn.VMID]mn.Member
}

func changesRoster(r *mn.Record) bool {
	return r.Join != nil || r.Leave != nil || r.Remove != nil
}

func (sm *StateMachine) recordRoster(v *mn.View) {
	sm.rosters = append(sm.rosters, rosterAt{v.Offset, v.Roster})
	if len(sm.rosters) > maxRosters {
		sm.rosters = sm.rosters[1:]
	}
}

// RostersSince returns every roster that was in force at offset after or later,
// the current one last. It returns false if some of them are no longer
// remembered.
func (sm *StateMachine) RostersSince(after mn.Offset) ([]map[mn.VMID]mn.Member, bool) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	first := len(sm.rosters) - 1
	for first > 0 && sm.rosters[first].offset > after {
		first--
	}
	var all []map[mn.VMID]mn.Member
	for _, r := range sm.rosters[first:] {
		all = append(all, r.members)
	}
	return all, sm.rosters[first].offset <= after
}
