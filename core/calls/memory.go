package calls

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// Memory is what one agent hands over to another that becomes the home of some
// of its keys.
type Memory struct {
	From        mn.VMID
	Incarnation mn.Incarnation
	// To is the incarnation of the agent that it is meant for.
	To mn.Incarnation
	// AsOf is the offset of the roster under which the sender gave the keys up.
	AsOf mn.Offset
	// Final says that the sender runs no call with any key from now on, and has
	// divided its keys among the agents in Among.
	Final bool
	Among []mn.VMID
	// Partial says that Keys holds later outcomes only and closes no gap.
	Partial bool
	Keys    []Kept
	// Lacks holds what the sender does not know itself.
	Lacks []Gap
}

// Kept is what an agent remembers of one idempotency key.
type Kept struct {
	Key         mn.IdempotencyKey
	ID          mn.RequestID
	Fingerprint Fingerprint
	// Phase is Elsewhere for a call that was still registered or running.
	Phase   Phase
	Answer  []byte
	Dropped bool
}

// Late is the outcome of a call that was handed over while it ran.
type Late struct {
	Heir mn.VMID
	Kept Kept
}

// Roster takes in the agents of the pool that are not leaving, as of the record
// at offset off. It has to be called for every record that changes them, in
// log order. It returns what each agent that has joined has to be sent, again
// until that agent has it.
func (t *Table) Roster(off mn.Offset, members map[mn.VMID]mn.Incarnation) map[mn.VMID]Memory {
	t.mu.Lock()
	defer t.mu.Unlock()
	memories := map[mn.VMID]Memory{}
	for _, vm := range t.homes.roster(off, t.clock.Wall(), members) {
		m := t.export(vm, t.homes.list)
		m.AsOf = off
		memories[vm] = m
	}
	return memories
}

// Missed tells the table that changes of the roster before offset off were not
// given to Roster. Until the agent has joined that opens no gap: the members
// that it joins hand their memory over, with what they lack themselves.
func (t *Table) Missed(off mn.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.homes.joined {
		return
	}
	t.homes.unknown(off, t.clock.Wall())
}

// Genesis tells the table that its pool had no agent before the first roster
// that it is given.
func (t *Table) Genesis() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes.genesis = true
}

// Leave has the table refuse all calls from now on, and returns what each other
// agent has to be sent before this one leaves the roster. It has to be called
// again if the roster changes meanwhile.
func (t *Table) Leave() map[mn.VMID]Memory {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining, t.homes.gone = true, true
	for _, c := range t.byKey {
		if c.phase == Registered {
			t.finish(c, NotRun, nil, mn.Errorf(mn.Draining, "agent %s is leaving", t.config.VM))
		}
	}
	memories := map[mn.VMID]Memory{}
	rest := without(t.homes.list, t.config.VM)
	for _, vm := range rest {
		m := t.export(vm, rest)
		m.Final, m.Among = true, rest
		memories[vm] = m
	}
	return memories
}

// export returns the memory of the keys whose home among list is vm.
func (t *Table) export(vm mn.VMID, list []mn.VMID) Memory {
	m := Memory{
		From:        t.config.VM,
		Incarnation: t.config.Incarnation,
		To:          t.homes.members[vm],
		Lacks:       slices.Clone(t.homes.gaps),
	}
	for key, c := range t.byKey {
		if home, _ := rendez.Home(string(key), list); home != vm {
			continue
		}
		if c.phase == Registered || c.phase == Started {
			c.heir = vm
		}
		m.Keys = append(m.Keys, c.kept())
	}
	return m
}

func (c *Call) kept() Kept {
	k := Kept{Key: c.request.Key, ID: c.request.ID, Fingerprint: c.request.Fingerprint, Phase: c.phase}
	switch c.phase {
	case Registered, Started:
		k.Phase = Elsewhere
	case Done:
		k.Answer, k.Dropped = c.answer, c.dropped
	}
	return k
}

// Import takes in what another agent has handed over. It refuses a memory that
// is meant for another incarnation.
func (t *Table) Import(m Memory) *mn.Error {
	if m.To != t.config.Incarnation {
		return mn.Errorf(mn.OrderStale, "memory of %s is meant for incarnation %s, this is %s", m.From, m.To, t.config.Incarnation)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range m.Keys {
		t.takeIn(k)
	}
	if !m.Partial {
		t.homes.fill(m)
	}
	return nil
}

func (t *Table) takeIn(k Kept) {
	made, err := k.Key.Created()
	if err != nil {
		return
	}
	c := t.byKey[k.Key]
	if c != nil && c.phase != Elsewhere {
		return
	}
	if c == nil {
		r := Request{ID: k.ID, Key: k.Key, Fingerprint: k.Fingerprint}
		c = t.register(r, made)
		c.phase = Elsewhere
	}
	switch k.Phase {
	case Done:
		c.dropped = k.Dropped
		t.finish(c, Done, k.Answer, nil)
	case NotRun:
		t.finish(c, NotRun, nil, mn.Errorf(mn.Barred, "request %s did not run at the key's former home", k.ID))
	case Unknown:
		t.finish(c, Unknown, nil, mn.Errorf(mn.OutcomeNotKnown, "request %s at the key's former home", k.ID))
	}
}

// tellLate queues the outcome of a call that was handed over while it ran.
func (t *Table) tellLate(c *Call) {
	if c.heir == "" {
		return
	}
	t.late = append(t.late, Late{Heir: c.heir, Kept: c.kept()})
	select {
	case t.lateReady <- struct{}{}:
	default:
	}
}

// LateReady returns a channel that receives when Late has something to return.
func (t *Table) LateReady() <-chan struct{} { return t.lateReady }

// Late returns the outcomes that have become known since the last call, of
// calls that were handed over while they ran, each in a Memory for its heir.
func (t *Table) Late() map[mn.VMID]Memory {
	t.mu.Lock()
	defer t.mu.Unlock()
	memories := map[mn.VMID]Memory{}
	for _, l := range t.late {
		m := memories[l.Heir]
		m.From, m.Incarnation, m.Partial = t.config.VM, t.config.Incarnation, true
		m.To = t.homes.members[l.Heir]
		m.Keys = append(m.Keys, l.Kept)
		memories[l.Heir] = m
	}
	t.late = nil
	return memories
}
