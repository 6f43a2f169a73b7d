package calls

import (
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

// Transfer is the state that one agent sends to another which becomes the home of
// some of its keys.
type Transfer struct {
	From        mn.VMID
	Incarnation mn.Incarnation
	// To is the incarnation of the recipient.
	To mn.Incarnation
	// RosterOffset is the offset of the roster with which the sender stopped being
	// the home of the keys.
	RosterOffset mn.Offset
	// Final reports whether the sender runs no call with any key from now on, and
	// has divided its keys among the agents in Recipients.
	Final      bool
	Recipients []mn.VMID
	// OutcomesOnly reports whether Keys holds only outcomes of calls that were
	// transferred earlier; such a transfer fills no gap.
	OutcomesOnly bool
	Keys         []KeyState
	// Gaps are the sender's own gaps.
	Gaps []Gap
}

// KeyState is what an agent remembers about one idempotency key.
type KeyState struct {
	Key         mn.IdempotencyKey
	ID          mn.RequestID
	Fingerprint Fingerprint
	// Phase is AtFormerHome for a call that was still registered or started.
	Phase  Phase
	Answer []byte
	// AnswerDropped reports whether the call is done but its answer was dropped.
	AnswerDropped bool
}

// LateOutcome is the outcome of a call that was transferred before it finished.
type LateOutcome struct {
	NewHome mn.VMID
	State   KeyState
}

// UpdateRoster sets the agents of the pool that are not leaving, according to the
// record at offset. It must be called in log order for every record that changes
// them. It returns a transfer for each agent that has joined; the caller must send
// it until the agent has acknowledged it.
func (t *Table) UpdateRoster(offset mn.Offset, members map[mn.VMID]mn.Incarnation) map[mn.VMID]Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	transfers := map[mn.VMID]Transfer{}
	for _, vm := range t.homes.updateRoster(offset, t.clock.Wall(), members) {
		transfer := t.exportFor(vm, t.homes.sortedVMs)
		transfer.RosterOffset = offset
		transfers[vm] = transfer
	}
	return transfers
}

// MarkRosterGap records that UpdateRoster was not called for changes of the roster
// before offset. This opens a gap for every key, unless this agent has not joined
// yet: the members that it joins will transfer their state, including their gaps.
func (t *Table) MarkRosterGap(offset mn.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.homes.joined {
		return
	}
	t.homes.openFullGap(offset, t.clock.Wall())
}

// MarkPoolNew records that the pool had no agent before the first call of
// UpdateRoster.
func (t *Table) MarkPoolNew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes.poolNew = true
}

// Leave rejects new calls from now on, ends calls with a key that have not started,
// and returns the final transfer for each other agent, which must be sent before
// this one leaves the roster. It must be called again if the roster changes before
// that.
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
		transfer := t.exportFor(vm, remaining)
		transfer.Final, transfer.Recipients = true, remaining
		transfers[vm] = transfer
	}
	return transfers
}

// exportFor returns a transfer of the keys whose home among vms is vm.
func (t *Table) exportFor(vm mn.VMID, vms []mn.VMID) Transfer {
	transfer := Transfer{
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
		transfer.Keys = append(transfer.Keys, c.keyState())
	}
	return transfer
}

// keyState returns what a transfer says about c's key.
func (c *Call) keyState() KeyState {
	k := KeyState{Key: c.request.Key, ID: c.request.ID, Fingerprint: c.request.Fingerprint, Phase: c.phase}
	switch c.phase {
	case Registered, Started:
		k.Phase = AtFormerHome
	case Done:
		k.Answer, k.AnswerDropped = c.answer, c.answerDropped
	}
	return k
}

// Import applies the transfer of another agent. It rejects a transfer that is meant
// for another incarnation.
func (t *Table) Import(transfer Transfer) *mn.Error {
	if transfer.To != t.config.Incarnation {
		return mn.Errorf(mn.OrderStale, "transfer from %s is meant for incarnation %s, this agent is incarnation %s", transfer.From, transfer.To, t.config.Incarnation)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range transfer.Keys {
		t.importKey(k)
	}
	if !transfer.OutcomesOnly {
		t.homes.applyTransfer(transfer)
	}
	return nil
}

// importKey adds the state of one transferred key, unless the table already knows
// the outcome of its call or runs the call itself.
func (t *Table) importKey(k KeyState) {
	created, err := k.Key.Created()
	if err != nil {
		return
	}
	c := t.byKey[k.Key]
	if c != nil && c.phase != AtFormerHome {
		return
	}
	if c == nil {
		r := Request{ID: k.ID, Key: k.Key, Fingerprint: k.Fingerprint}
		c = t.register(r, created)
		c.phase = AtFormerHome
	}
	switch k.Phase {
	case Done:
		c.answerDropped = k.AnswerDropped
		t.finish(c, Done, k.Answer, nil)
	case NotRun:
		t.finish(c, NotRun, nil, mn.Errorf(mn.Barred, "request %s did not run at the key's former home", k.ID))
	case Unknown:
		t.finish(c, Unknown, nil, mn.Errorf(mn.OutcomeNotKnown, "outcome of request %s at the key's former home is unknown", k.ID))
	}
}

// queueLateOutcome queues the outcome of c if c was transferred before it finished.
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

// LateOutcomesReady returns a channel that receives a value when TakeLateOutcomes
// has something to return.
func (t *Table) LateOutcomesReady() <-chan struct{} { return t.lateOutcomesReady }

// TakeLateOutcomes returns the outcomes, known since its last call, of calls that
// were transferred before they finished, in a transfer for each new home.
func (t *Table) TakeLateOutcomes() map[mn.VMID]Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	transfers := map[mn.VMID]Transfer{}
	for _, l := range t.lateOutcomes {
		transfer := transfers[l.NewHome]
		transfer.From, transfer.Incarnation, transfer.OutcomesOnly = t.config.VM, t.config.Incarnation, true
		transfer.To = t.homes.members[l.NewHome]
		transfer.Keys = append(transfer.Keys, l.State)
		transfers[l.NewHome] = transfer
	}
	t.lateOutcomes = nil
	return transfers
}
