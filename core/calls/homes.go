package calls

import (
	"maps"
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// Gap says that the table knows nothing of certain keys made before Until:
// those whose home among Members was Lost, whose memory has not arrived.
type Gap struct {
	// Members is nil for a gap that takes in every key.
	Members     []mn.VMID
	Lost        mn.VMID
	Incarnation mn.Incarnation
	// Until is wall-clock time with the skew of clocks already added.
	Until mn.Millis
	// Since is the offset of the record that opened the gap.
	Since mn.Offset
	// Inherited says that another agent lacked the memory and then handed over
	// its own. What Lost divided among others does not fill such a gap.
	Inherited bool
}

// includes says whether a call with key, of which nobody can have known before
// since, may have run unknown to the table.
func (g Gap) includes(key mn.IdempotencyKey, since mn.Millis) bool {
	if since > g.Until {
		return false
	}
	if g.Members == nil {
		return true
	}
	home, _ := rendez.Home(string(key), g.Members)
	return home == g.Lost
}

// homes knows which agent is the home of a key, and for which keys this agent
// lacks the memory of a former home.
type homes struct {
	config    Config
	members   map[mn.VMID]mn.Incarnation
	sortedVMs []mn.VMID
	joined    bool
	// poolNew says that the pool has had no agents before.
	poolNew bool
	// left says that this agent has handed over its memory for good.
	left bool
	gaps []Gap
	// finalRecipients holds, for each incarnation whose final memory has arrived, the
	// agents among which it divided its keys.
	finalRecipients map[mn.Incarnation][]mn.VMID
	// transferOffsets holds, for each incarnation whose memory has arrived, the offset
	// as of which it was made: it may arrive before the record that opens the
	// gap is read here.
	transferOffsets map[mn.Incarnation]mn.Offset
}

func newHomes(config Config) homes {
	return homes{config: config, finalRecipients: map[mn.Incarnation][]mn.VMID{}, transferOffsets: map[mn.Incarnation]mn.Offset{}}
}

func (h *homes) checkHome(key mn.IdempotencyKey) *mn.Error {
	home, _ := rendez.Home(string(key), h.sortedVMs)
	if !h.joined || h.left || home != h.config.VM {
		return mn.Errorf(NotHome, "home of key %s is %q, this is %q", key, home, h.config.VM).WithRetryAfter(homeRetryAfter)
	}
	return nil
}

// checkGaps returns an error if a call with key may have run, or may still run,
// at a former home. Before the time since it can't have been sent anywhere.
func (h *homes) checkGaps(key mn.IdempotencyKey, since mn.Millis) *mn.Error {
	for _, g := range h.gaps {
		if g.includes(key, since) && g.Lost == h.config.VM {
			return mn.Errorf(OutcomeLost, "key %s may have run in an earlier process on %s", key, g.Lost)
		}
		if g.includes(key, since) {
			return mn.Errorf(HomeChanging, "key %s may have run at %q, whose memory is not here", key, g.Lost).WithRetryAfter(homeRetryAfter)
		}
	}
	return nil
}

// updateRoster takes in the agents of the pool that are not leaving as of the record
// at offset off, and returns those that have joined with it.
func (h *homes) updateRoster(offset mn.Offset, now mn.Millis, members map[mn.VMID]mn.Incarnation) []mn.VMID {
	var joined []mn.VMID
	for vm, incarnation := range members {
		if h.members[vm] != incarnation && vm != h.config.VM {
			joined = append(joined, vm)
		}
	}
	if h.members == nil {
		h.members, h.sortedVMs = maps.Clone(members), slices.Sorted(maps.Keys(members))
	}
	gap := Gap{Members: h.sortedVMs, Until: now + h.config.RemovalDelay + h.config.MaxSkew, Since: offset}
	_, member := members[h.config.VM]
	switch {
	case !member:
		h.joined = false
	case !h.joined:
		h.join(gap)
		joined = nil
	default:
		h.openGapsForFormer(members, gap)
	}
	h.poolNew = h.poolNew && len(members) == 0
	h.members = maps.Clone(members)
	h.sortedVMs = slices.Sorted(maps.Keys(members))
	return joined
}

// join opens a gap for each agent that was a home before this one was. If a
// former incarnation on the same VM was a home until now, only its memory is
// lacking: an agent's address can't be taken while its former process lives.
func (h *homes) join(gap Gap) {
	h.joined = true
	if own, ok := h.members[h.config.VM]; ok {
		h.openGap(gap, h.config.VM, own)
		return
	}
	h.openGapsForFormer(nil, gap)
	if len(h.members) == 0 && !h.poolNew {
		h.gaps = append(h.gaps, Gap{Until: gap.Until, Since: gap.Since})
	}
}

// openGapsForFormer opens a gap for each former member that is not in members.
func (h *homes) openGapsForFormer(members map[mn.VMID]mn.Incarnation, gap Gap) {
	for vm, incarnation := range h.members {
		if members[vm] != incarnation && vm != h.config.VM {
			h.openGap(gap, vm, incarnation)
		}
	}
}

// openGap opens a gap for the memory of incarnation, unless it has arrived for
// good.
func (h *homes) openGap(g Gap, vm mn.VMID, incarnation mn.Incarnation) {
	g.Lost, g.Incarnation = vm, incarnation
	if incarnation == h.config.Incarnation || h.filled(g) {
		return
	}
	h.gaps = append(h.gaps, g)
}

// openFullGap opens a gap for every key made so far.
func (h *homes) openFullGap(offset mn.Offset, now mn.Millis) {
	h.gaps = append(h.gaps, Gap{Until: now + h.config.RemovalDelay + h.config.MaxSkew, Since: offset})
}

// finalTransferred says whether the lost agent of g has handed over its final memory,
// divided among the agents that remained.
func (h *homes) finalTransferred(g Gap) bool {
	recipients, ok := h.finalRecipients[g.Incarnation]
	return ok && slices.Equal(recipients, withoutVM(g.Members, g.Lost))
}

// filled says whether the memory that g lacks has arrived.
func (h *homes) filled(g Gap) bool {
	offset, ok := h.transferOffsets[g.Incarnation]
	if ok && g.Since <= offset {
		return true
	}
	return !g.Inherited && h.finalTransferred(g)
}

func withoutVM(list []mn.VMID, vm mn.VMID) []mn.VMID {
	return slices.DeleteFunc(slices.Clone(list), func(m mn.VMID) bool { return m == vm })
}

// applyTransfer closes the gaps that m closes, and opens those for what its sender
// lacked itself.
func (h *homes) applyTransfer(m Transfer) {
	if m.Final {
		h.finalRecipients[m.Incarnation] = m.Recipients
	} else {
		h.transferOffsets[m.Incarnation] = max(h.transferOffsets[m.Incarnation], m.RosterOffset)
	}
	h.gaps = slices.DeleteFunc(h.gaps, h.filled)
	for _, g := range m.Gaps {
		g.Inherited = true
		if !h.hasInherited(g) {
			h.gaps = append(h.gaps, g)
		}
	}
}

func (h *homes) hasInherited(g Gap) bool {
	return slices.ContainsFunc(h.gaps, func(o Gap) bool {
		return o.Inherited && o.Lost == g.Lost && o.Incarnation == g.Incarnation && o.Until >= g.Until && slices.Equal(o.Members, g.Members)
	})
}

// dropExpiredGaps drops gaps that hide only keys too old to be accepted.
func (h *homes) dropExpiredGaps(now mn.Millis) {
	h.gaps = slices.DeleteFunc(h.gaps, func(g Gap) bool { return g.Until+h.config.MaxKeyAge < now })
}
