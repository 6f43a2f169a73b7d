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

// hides says whether a call with key, of which nobody can have known before
// since, may have run unknown to the table.
func (g Gap) hides(key mn.IdempotencyKey, since mn.Millis) bool {
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
	config  Config
	members map[mn.VMID]mn.Incarnation
	list    []mn.VMID
	joined  bool
	// genesis says that the pool has had no agents before.
	genesis bool
	// gone says that this agent has handed over its memory for good.
	gone bool
	gaps []Gap
	// handed holds, for each incarnation whose final memory has arrived, the
	// agents among which it divided its keys.
	handed map[mn.Incarnation][]mn.VMID
	// released holds, for each incarnation whose memory has arrived, the offset
	// as of which it was made: it may arrive before the record that opens the
	// gap is read here.
	released map[mn.Incarnation]mn.Offset
}

func newHomes(config Config) homes {
	return homes{config: config, handed: map[mn.Incarnation][]mn.VMID{}, released: map[mn.Incarnation]mn.Offset{}}
}

func (h *homes) isHome(key mn.IdempotencyKey) *mn.Error {
	home, _ := rendez.Home(string(key), h.list)
	if !h.joined || h.gone || home != h.config.VM {
		return mn.Errorf(NotHome, "home of key %s is %q, this is %q", key, home, h.config.VM).WithRetryAfter(retryHome)
	}
	return nil
}

// covers returns an error if a call with key may have run, or may still run,
// at a former home. Before the time since it can't have been sent anywhere.
func (h *homes) covers(key mn.IdempotencyKey, since mn.Millis) *mn.Error {
	for _, g := range h.gaps {
		if g.hides(key, since) && g.Lost == h.config.VM {
			return mn.Errorf(OutcomeLost, "key %s may have run in an earlier process on %s", key, g.Lost)
		}
		if g.hides(key, since) {
			return mn.Errorf(HomeChanging, "key %s may have run at %q, whose memory is not here", key, g.Lost).WithRetryAfter(retryHome)
		}
	}
	return nil
}

// roster takes in the agents of the pool that are not leaving as of the record
// at offset off, and returns those that have joined with it.
func (h *homes) roster(off mn.Offset, now mn.Millis, members map[mn.VMID]mn.Incarnation) []mn.VMID {
	var joined []mn.VMID
	for vm, incarnation := range members {
		if h.members[vm] != incarnation && vm != h.config.VM {
			joined = append(joined, vm)
		}
	}
	if h.members == nil {
		h.members, h.list = maps.Clone(members), slices.Sorted(maps.Keys(members))
	}
	lapsed := Gap{Members: h.list, Until: now + h.config.RemovalDelay + h.config.MaxSkew, Since: off}
	_, member := members[h.config.VM]
	switch {
	case !member:
		h.joined = false
	case !h.joined:
		h.join(lapsed)
		joined = nil
	default:
		h.lost(members, lapsed)
	}
	h.genesis = h.genesis && len(members) == 0
	h.members = maps.Clone(members)
	h.list = slices.Sorted(maps.Keys(members))
	return joined
}

// join opens a gap for each agent that was a home before this one was. If a
// former incarnation on the same VM was a home until now, only its memory is
// lacking: an agent's address can't be taken while its former process lives.
func (h *homes) join(lapsed Gap) {
	h.joined = true
	if own, ok := h.members[h.config.VM]; ok {
		h.open(lapsed, h.config.VM, own)
		return
	}
	h.lost(nil, lapsed)
	if len(h.members) == 0 && !h.genesis {
		h.gaps = append(h.gaps, Gap{Until: lapsed.Until, Since: lapsed.Since})
	}
}

// lost opens a gap for each former member that is not in members.
func (h *homes) lost(members map[mn.VMID]mn.Incarnation, lapsed Gap) {
	for vm, incarnation := range h.members {
		if members[vm] != incarnation && vm != h.config.VM {
			h.open(lapsed, vm, incarnation)
		}
	}
}

// open opens a gap for the memory of incarnation, unless it has arrived for
// good.
func (h *homes) open(g Gap, vm mn.VMID, incarnation mn.Incarnation) {
	g.Lost, g.Incarnation = vm, incarnation
	if incarnation == h.config.Incarnation || h.filled(g) {
		return
	}
	h.gaps = append(h.gaps, g)
}

// unknown opens a gap for every key made so far.
func (h *homes) unknown(off mn.Offset, now mn.Millis) {
	h.gaps = append(h.gaps, Gap{Until: now + h.config.RemovalDelay + h.config.MaxSkew, Since: off})
}

// divided says whether the lost agent of g has handed over its final memory,
// divided among the agents that remained.
func (h *homes) divided(g Gap) bool {
	among, ok := h.handed[g.Incarnation]
	return ok && slices.Equal(among, without(g.Members, g.Lost))
}

// filled says whether the memory that g lacks has arrived.
func (h *homes) filled(g Gap) bool {
	released, ok := h.released[g.Incarnation]
	if ok && g.Since <= released {
		return true
	}
	return !g.Inherited && h.divided(g)
}

func without(list []mn.VMID, vm mn.VMID) []mn.VMID {
	return slices.DeleteFunc(slices.Clone(list), func(m mn.VMID) bool { return m == vm })
}

// fill closes the gaps that m closes, and opens those for what its sender
// lacked itself.
func (h *homes) fill(m Transfer) {
	if m.Final {
		h.handed[m.Incarnation] = m.Recipients
	} else {
		h.released[m.Incarnation] = max(h.released[m.Incarnation], m.RosterOffset)
	}
	h.gaps = slices.DeleteFunc(h.gaps, h.filled)
	for _, g := range m.Gaps {
		g.Inherited = true
		if !h.has(g) {
			h.gaps = append(h.gaps, g)
		}
	}
}

func (h *homes) has(g Gap) bool {
	return slices.ContainsFunc(h.gaps, func(o Gap) bool {
		return o.Inherited && o.Lost == g.Lost && o.Incarnation == g.Incarnation && o.Until >= g.Until && slices.Equal(o.Members, g.Members)
	})
}

// forget drops gaps that hide only keys too old to be accepted.
func (h *homes) forget(now mn.Millis) {
	h.gaps = slices.DeleteFunc(h.gaps, func(g Gap) bool { return g.Until+h.config.MaxKeyAge < now })
}
