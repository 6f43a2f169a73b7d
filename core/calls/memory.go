package calls

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// Transfer is what one agent hands over to another that becomes the home of some
// of its keys.
type Transfer struct {
	From        mn.VMID
	Incarnation mn.Incarnation
	// To is the incarnation of the agent that it is meant for.
	To mn.Incarnation
	// RosterOffset is the offset of the roster under which the sender gave the keys up.
	RosterOffset mn.Offset
	// Final says that the sender runs no call with any key from now on, and has
	// divided its keys among the agents in Among.
	Final      bool
	Recipients []mn.VMID
	// OutcomesOnly says that Keys holds later outcomes only and closes no gap.
	OutcomesOnly bool
	Keys         []KeyState
	// Gaps holds what the sender does not know itself.
	Gaps []Gap
}

// KeyState is what an agent remembers of one idempotency key.
type KeyState struct {
	Key         mn.IdempotencyKey
	ID          mn.RequestID
	Fingerprint Fingerprint
	// Phase is Elsewhere for a call that was still registered or running.
	Phase   Phase
	Answer  []byte
	Dropped bool
}

// LateOutcome is the outcome of a call that was handed over while it ran.
type LateOutcome struct {
	NewHome mn.VMID
	State   KeyState
}

// UpdateRoster takes in the agents of the pool that are not leaving, as of the record
// at offset off. It has to be called for every record that changes them, in
// log order. It returns what each agent that has joined has to be sent, again
// until that agent has it.
func (t *Table) UpdateRoster(offset mn.Offset, members map[mn.VMID]mn.Incarnation) map[mn.VMID]Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	transfers := map[mn.VMID]Transfer{}
	for _, vm := range t.homes.updateRoster(offset, t.clock.Wall(), members) {
		m := t.exportFor(vm, t.homes.sortedVMs)
		m.RosterOffset = offset
		transfers[vm] = m
	}
	return transfers
}

// MarkRosterGap tells the table that changes of the roster before offset off were not
// given to Roster. Until the agent has joined that opens no gap: the members
// that it joins hand their memory over, with what they lack themselves.
func (t *Table) MarkRosterGap(offset mn.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.homes.joined {
		return
	}
	t.homes.openFullGap(offset, t.clock.Wall())
}

// MarkPoolNew tells the table that its pool had no agent before the first roster
// that it is given.
func (t *Table) MarkPoolNew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes.poolNew = true
}

// Leave has the table refuse all calls from now on, and returns what each other
// agent has to be sent before this one leaves the roster. It has to be called
// again if the roster changes meanwhile.
func (t *Table) Leave() map[mn.VMID]Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining, t.homes.left = true, true
	for _, c := range t.byKey {
		if c.phase == Registered {
			t.finish(c, NotRun, nil, mn.Errorf(mn.Draining, "agent %s is leaving", t.config.VM))
		}
	}
	transfers := map[mn.VMID]Transfer{}
	remaining := withoutVM(t.homes.sortedVMs, t.config.VM)
	for _, vm := range remaining {
		m := t.exportFor(vm, remaining)
		m.Final, m.Recipients = true, remaining
		transfers[vm] = m
	}
	return transfers
}

// exportFor returns the memory of the keys whose home among list is vm.
func (t *Table) exportFor(vm mn.VMID, vms []mn.VMID) Transfer {
	m := Transfer{
		From:        t.config.VM,
		Incarnation: t.config.Incarnation,
		To:          t.homes.members[vm],
		Gaps:        slices.Clone(t.homes.gaps),
	}
	for key, c := range t.byKey {
		if home, _ := rendez.Home(string(key), vms); home != vm {
			continue
		}
		if c.phase == Registered || c.phase == Started {
			c.newHome = vm
		}
		m.Keys = append(m.Keys, c.keyState())
	}
	return m
}

func (c *Call) keyState() KeyState {
	k := KeyState{Key: c.request.Key, ID: c.request.ID, Fingerprint: c.request.Fingerprint, Phase: c.phase}
	switch c.phase {
	case Registered, Started:
		k.Phase = AtFormerHome
	case Done:
		k.Answer, k.Dropped = c.answer, c.answerDropped
	}
	return k
}

// Import takes in what another agent has handed over. It refuses a memory that
// is meant for another incarnation.
func (t *Table) Import(m Transfer) *mn.Error {
	if m.To != t.config.Incarnation {
		return mn.Errorf(mn.OrderStale, "memory of %s is meant for incarnation %s, this is %s", m.From, m.To, t.config.Incarnation)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range m.Keys {
		t.importKey(k)
	}
	if !m.OutcomesOnly {
		t.homes.applyTransfer(m)
	}
	return nil
}

func (t *Table) importKey(k KeyState) {
	made, err := k.Key.Created()
	if err != nil {
		return
	}
	c := t.byKey[k.Key]
	if c != nil && c.phase != AtFormerHome {
		return
	}
	if c == nil {
		r := Request{ID: k.ID, Key: k.Key, Fingerprint: k.Fingerprint}
		c = t.register(r, made)
		c.phase = AtFormerHome
	}
	switch k.Phase {
	case Done:
		c.answerDropped = k.Dropped
		t.finish(c, Done, k.Answer, nil)
	case NotRun:
		t.finish(c, NotRun, nil, mn.Errorf(mn.Barred, "request %s did not run at the key's former home", k.ID))
	case Unknown:
		t.finish(c, Unknown, nil, mn.Errorf(mn.OutcomeNotKnown, "request %s at the key's former home", k.ID))
	}
}

// queueLateOutcome queues the outcome of a call that was handed over while it ran.
func (t *Table) queueLateOutcome(c *Call) {
	if c.newHome == "" {
		return
	}
	t.lateOutcomes = append(t.lateOutcomes, LateOutcome{NewHome: c.newHome, State: c.keyState()})
	select {
	case t.lateOutcomesReady <- struct{}{}:
	default:
	}
}

// LateOutcomesReady returns a channel that receives when Late has something to return.
func (t *Table) LateOutcomesReady() <-chan struct{} { return t.lateOutcomesReady }

// TakeLateOutcomes returns the outcomes that have become known since the last call, of
// calls that were handed over while they ran, each in a Memory for its heir.
func (t *Table) TakeLateOutcomes() map[mn.VMID]Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	transfers := map[mn.VMID]Transfer{}
	for _, l := range t.lateOutcomes {
		m := transfers[l.NewHome]
		m.From, m.Incarnation, m.OutcomesOnly = t.config.VM, t.config.Incarnation, true
		m.To = t.homes.members[l.NewHome]
		m.Keys = append(m.Keys, l.State)
		transfers[l.NewHome] = m
	}
	t.lateOutcomes = nil
	return transfers
}
