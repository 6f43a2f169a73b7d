package calls

import (
	"maps"
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// Gap describes keys about which the table has no information: those created up
// to Until whose home among Members was Lost, from which no transfer has arrived.
type Gap struct {
	// Members is the former roster; it is nil for a gap that includes every key.
	Members []mn.VMID
	// Lost and Incarnation name the former home.
	Lost        mn.VMID
	Incarnation mn.Incarnation
	// Until is a wall-clock time that already includes the maximum clock skew.
	Until mn.Millis
	// SinceOffset is the offset of the record that opened the gap.
	SinceOffset mn.Offset
	// Inherited reports whether the gap came with the transfer of an agent that
	// lacked the state itself. A final transfer, which Lost divided among the
	// other agents, doesn't fill such a gap: the part for that agent isn't here.
	Inherited bool
}

// includes reports whether a call with key may have run without the table's
// knowledge. The key was sent to no agent before firstSent.
func (g Gap) includes(key mn.IdempotencyKey, firstSent mn.Millis) bool {
	if firstSent > g.Until {
		return false
	}
	if g.Members == nil {
		return true
	}
	home, _ := rendez.Home(string(key), g.Members)
	return home == g.Lost
}

// homes determines the home of each key, and tracks the keys for which this agent
// lacks the state of a former home.
type homes struct {
	config    Config
	members   map[mn.VMID]mn.Incarnation
	sortedVMs []mn.VMID
	// joined reports whether this agent is on the roster.
	joined bool
	// poolNew reports whether the pool has had no agents yet.
	poolNew bool
	// left reports whether this agent has made its final transfer.
	left bool
	gaps []Gap
	// finalRecipients holds, for each incarnation whose final transfer has
	// arrived, the agents among which it divided its keys.
	finalRecipients map[mn.Incarnation][]mn.VMID
	// transferOffsets holds, for each incarnation whose transfer has arrived, the
	// offset of the roster that the transfer is based on. It is kept because a
	// transfer may arrive before this agent reads the record that opens the gap.
	transferOffsets map[mn.Incarnation]mn.Offset
}

func newHomes(config Config) homes {
	return homes{config: config, finalRecipients: map[mn.Incarnation][]mn.VMID{}, transferOffsets: map[mn.Incarnation]mn.Offset{}}
}

// checkHome returns an error unless this agent is the home of key.
func (h *homes) checkHome(key mn.IdempotencyKey) *mn.Error {
	home, _ := rendez.Home(string(key), h.sortedVMs)
	if !h.joined || h.left || home != h.config.VM {
		return mn.Errorf(NotHome, "home of key %s is %q, this agent is %q (joined %t, left %t)", key, home, h.config.VM, h.joined, h.left).WithRetryAfter(homeRetryAfter)
	}
	return nil
}

// checkGaps returns an error if a call with key may have run, or may still run,
// at a former home. The key was sent to no agent before firstSent.
func (h *homes) checkGaps(key mn.IdempotencyKey, firstSent mn.Millis) *mn.Error {
	for _, g := range h.gaps {
		if g.includes(key, firstSent) && g.Lost == h.config.VM {
			return mn.Errorf(OutcomeLost, "a call with key %s may have run in an earlier process on %s", key, g.Lost)
		}
		if g.includes(key, firstSent) {
			return mn.Errorf(HomeChanging, "a call with key %s may have run at former home %q, which has not transferred its state", key, g.Lost).WithRetryAfter(homeRetryAfter)
		}
	}
	return nil
}

// updateRoster replaces the members by the agents of the pool that are not leaving
// after the record at offset. It returns the other agents that have joined since
// the last update, or none if this agent itself joins.
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
	gap := Gap{Members: h.sortedVMs, Until: now + h.config.RemovalDelay + h.config.MaxSkew, SinceOffset: offset}
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

// join opens gaps for the agents that were homes before this one joined. If one of
// them was an earlier incarnation on the same VM, only the state of that one is
// missing. Its process has ended, because this agent could not have taken its
// address otherwise.
func (h *homes) join(gap Gap) {
	h.joined = true
	if own, ok := h.members[h.config.VM]; ok {
		h.openGap(gap, h.config.VM, own)
		return
	}
	h.openGapsForFormer(nil, gap)
	if len(h.members) == 0 && !h.poolNew {
		h.gaps = append(h.gaps, Gap{Until: gap.Until, SinceOffset: gap.SinceOffset})
	}
}

// openGapsForFormer opens a gap for each member of the last roster, other than this
// agent, whose incarnation is not in members.
func (h *homes) openGapsForFormer(members map[mn.VMID]mn.Incarnation, gap Gap) {
	for vm, incarnation := range h.members {
		if members[vm] != incarnation && vm != h.config.VM {
			h.openGap(gap, vm, incarnation)
		}
	}
}

// openGap opens a gap for the state of incarnation, unless the transfer that fills
// it has arrived.
func (h *homes) openGap(g Gap, vm mn.VMID, incarnation mn.Incarnation) {
	g.Lost, g.Incarnation = vm, incarnation
	if incarnation == h.config.Incarnation || h.filled(g) {
		return
	}
	h.gaps = append(h.gaps, g)
}

// openFullGap opens a gap for every key created so far.
func (h *homes) openFullGap(offset mn.Offset, now mn.Millis) {
	h.gaps = append(h.gaps, Gap{Until: now + h.config.RemovalDelay + h.config.MaxSkew, SinceOffset: offset})
}

// finalTransferred reports whether the lost agent of g has made its final transfer
// to exactly the agents that remained.
func (h *homes) finalTransferred(g Gap) bool {
	recipients, ok := h.finalRecipients[g.Incarnation]
	return ok && slices.Equal(recipients, withoutVM(g.Members, g.Lost))
}

// filled reports whether the state that g lacks has arrived.
func (h *homes) filled(g Gap) bool {
	offset, ok := h.transferOffsets[g.Incarnation]
	if ok && g.SinceOffset <= offset {
		return true
	}
	return !g.Inherited && h.finalTransferred(g)
}

// withoutVM returns a copy of list without vm.
func withoutVM(list []mn.VMID, vm mn.VMID) []mn.VMID {
	return slices.DeleteFunc(slices.Clone(list), func(m mn.VMID) bool { return m == vm })
}

// applyTransfer closes the gaps that transfer fills, and opens those that its sender
// had itself.
func (h *homes) applyTransfer(transfer Transfer) {
	if transfer.Final {
		h.finalRecipients[transfer.Incarnation] = transfer.Recipients
	} else {
		h.transferOffsets[transfer.Incarnation] = max(h.transferOffsets[transfer.Incarnation], transfer.RosterOffset)
	}
	h.gaps = slices.DeleteFunc(h.gaps, h.filled)
	for _, g := range transfer.Gaps {
		g.Inherited = true
		if !h.hasInherited(g) {
			h.gaps = append(h.gaps, g)
		}
	}
}

// hasInherited reports whether there already is an inherited gap for the state that
// g lacks, with an Until that is at least as late.
func (h *homes) hasInherited(g Gap) bool {
	return slices.ContainsFunc(h.gaps, func(o Gap) bool {
		return o.Inherited && o.Lost == g.Lost && o.Incarnation == g.Incarnation && o.Until >= g.Until && slices.Equal(o.Members, g.Members)
	})
}

// dropExpiredGaps drops gaps whose keys are all too old to be accepted.
func (h *homes) dropExpiredGaps(now mn.Millis) {
	h.gaps = slices.DeleteFunc(h.gaps, func(g Gap) bool { return g.Until+h.config.MaxKeyAge < now })
}
