package calls_test

import (
	"flag"
	"maps"
	"slices"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/core/rendez"
)

const (
	modelMaxSkew      = 200 * mn.Millisecond
	modelRemovalDelay = 2 * mn.Second
)

// skewedClock is the shared clock with a wall time that is wrong by offset.
type skewedClock struct {
	*mn.ManualClock
	offset mn.Millis
}

func (c skewedClock) Wall() mn.Millis { return c.ManualClock.Wall() + c.offset }

// uuidCreatedAt returns a UUIDv7 that was created at wall and contains number.
func uuidCreatedAt(wall mn.Millis, number int) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(number >> 8), 15: byte(number)}
	for i := range 6 {
		id[i] = byte(wall >> (40 - 8*i))
	}
	return id.String()
}

// record is a change of the roster in the model's log.
type record struct {
	at      mn.Millis
	members map[mn.VMID]mn.Incarnation
}

// modelAgent is one incarnation of an agent. It has read the log up to offset.
type modelAgent struct {
	model       *model
	vm          mn.VMID
	incarnation mn.Incarnation
	table       *calls.Table
	offset      int
	leaving     bool
	partitioned bool
	calls       []*running
}

// CheckCurrent implements mn.FreshnessChecker. An agent considers itself current
// until modelRemovalDelay after the first record that it has not read.
func (a *modelAgent) CheckCurrent() error {
	m := a.model
	if a.offset < len(m.log) && m.clock.Now()-m.log[a.offset].at >= modelRemovalDelay {
		return mn.Errorf(mn.NotCurrent, "%s", a.vm)
	}
	return nil
}

type running struct {
	message *message
	call    *calls.Call
	started bool
}

type message struct {
	request calls.Request
	to      mn.VMID
	notRun  bool
	ran     bool
	// accepted reports whether an agent has accepted the request.
	accepted bool
}

// booking is one idempotency key and all requests sent with it.
type booking struct {
	key      mn.IdempotencyKey
	messages []*message
	runs     int
}

type model struct {
	t          *rapid.T
	clock      *mn.ManualClock
	log        []record
	agents     map[mn.VMID]*modelAgent
	vms        []mn.VMID
	bookings   map[mn.IdempotencyKey]*booking
	keys       []mn.IdempotencyKey
	inFlight   []*message
	transfers  []calls.Transfer
	recipients []mn.VMID
	ids        int
	ran        int
	unknown    int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, clock: mn.NewManualClock(1_800_000_000_000), agents: map[mn.VMID]*modelAgent{}, bookings: map[mn.IdempotencyKey]*booking{}}
	m.vms = []mn.VMID{"a", "b", "c"}
	for _, vm := range m.vms {
		m.boot(vm)
	}
	for _, vm := range m.vms {
		for m.agents[vm].offset < len(m.log) {
			m.applyNext(m.agents[vm])
		}
	}
	for i := range m.transfers {
		m.deliverTransfer(i)
	}
	return m
}

func (m *model) clockOffset() mn.Millis {
	return mn.Millis(rapid.Int64Range(-int64(modelMaxSkew)/2, int64(modelMaxSkew)/2).Draw(m.t, "ahead"))
}

func (m *model) newID() string {
	m.ids++
	return uuidCreatedAt(m.clock.Wall()+m.clockOffset(), m.ids)
}

func (m *model) lastMembers() map[mn.VMID]mn.Incarnation {
	if len(m.log) == 0 {
		return nil
	}
	return m.log[len(m.log)-1].members
}

func (m *model) change(edit func(members map[mn.VMID]mn.Incarnation)) {
	next := maps.Clone(m.lastMembers())
	if next == nil {
		next = map[mn.VMID]mn.Incarnation{}
	}
	edit(next)
	m.log = append(m.log, record{m.clock.Now(), next})
}

// boot starts a new incarnation on vm, which joins the roster.
func (m *model) boot(vm mn.VMID) {
	a := &modelAgent{model: m, vm: vm, incarnation: mn.NewIncarnation()}
	config := calls.DefaultConfig(vm, a.incarnation)
	config.MaxSkew, config.RemovalDelay, config.MaxKeyAge, config.MaxIDAge = modelMaxSkew, modelRemovalDelay, 20*mn.Second, 8*mn.Second
	a.table = calls.New(config, skewedClock{m.clock, m.clockOffset()}, a)
	if len(m.log) == 0 {
		a.table.MarkPoolNew()
	}
	a.offset = len(m.log)
	if a.offset > 0 {
		a.table.UpdateRoster(mn.Offset(a.offset), m.log[a.offset-1].members)
	}
	m.agents[vm] = a
	m.change(func(members map[mn.VMID]mn.Incarnation) { members[vm] = a.incarnation })
}

func (m *model) pickVM() mn.VMID { return rapid.SampledFrom(m.vms).Draw(m.t, "vm") }

// pick returns a random agent for which ok returns true.
func (m *model) pick(ok func(*modelAgent) bool) *modelAgent {
	var list []mn.VMID
	for _, vm := range m.vms {
		if ok(m.agents[vm]) {
			list = append(list, vm)
		}
	}
	if len(list) == 0 {
		m.t.Skip("no agent meets the condition")
	}
	return m.agents[rapid.SampledFrom(list).Draw(m.t, "agent")]
}

// pickMessage returns a random message, preferably a recent one.
func (m *model) pickMessage() *message {
	if len(m.inFlight) == 0 {
		m.t.Skip("no message is in flight")
	}
	back := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "back")
	return m.inFlight[len(m.inFlight)-1-back]
}

func (m *model) tick(*rapid.T) {
	m.clock.Advance(mn.Millis(rapid.Int64Range(1, 1500).Draw(m.t, "duration")))
}

// readNext lets an agent read the next record.
func (m *model) readNext(*rapid.T) {
	m.applyNext(m.pick(func(a *modelAgent) bool { return a.offset < len(m.log) && !a.partitioned }))
}

// togglePartition disconnects an agent from the log, or reconnects it.
func (m *model) togglePartition(*rapid.T) {
	m.skipMostly()
	a := m.agents[m.pickVM()]
	a.partitioned = !a.partitioned
}

func (m *model) applyNext(a *modelAgent) {
	r := m.log[a.offset]
	a.offset++
	m.send(a.table.UpdateRoster(mn.Offset(a.offset), r.members))
}

func (m *model) send(transfers map[mn.VMID]calls.Transfer) {
	for _, vm := range slices.Sorted(maps.Keys(transfers)) {
		m.recipients = append(m.recipients, vm)
		m.transfers = append(m.transfers, transfers[vm])
	}
}

// transfer delivers a random transfer and keeps it, so that transfers are delivered
// late, repeatedly or never.
func (m *model) transfer(*rapid.T) {
	if len(m.transfers) == 0 {
		m.t.Skip("no transfer to deliver")
	}
	m.deliverTransfer(len(m.transfers) - 1 - rapid.IntRange(0, len(m.transfers)-1).Draw(m.t, "transfer"))
}

func (m *model) deliverTransfer(i int) {
	_ = m.agents[m.recipients[i]].table.Import(m.transfers[i])
}

func (m *model) sendLateOutcomes(*rapid.T) {
	m.send(m.agents[m.pickVM()].table.TakeLateOutcomes())
}

// kill replaces an agent by a new incarnation. The endpoint may have run its calls
// in flight or not.
func (m *model) kill(*rapid.T) {
	m.skipMostly()
	m.boot(m.pickVM())
}

// skipMostly skips the present action in three of four cases.
func (m *model) skipMostly() {
	if rapid.IntRange(0, 3).Draw(m.t, "seldom") > 0 {
		m.t.Skip("this action runs in one of four cases")
	}
}

func (m *model) remove(*rapid.T) {
	m.skipMostly()
	vm := m.pickVM()
	m.change(func(members map[mn.VMID]mn.Incarnation) { delete(members, vm) })
}

func (m *model) rejoin(*rapid.T) {
	a := m.agents[m.pickVM()]
	if a.leaving {
		m.t.Skip("the agent is already leaving")
	}
	m.change(func(members map[mn.VMID]mn.Incarnation) { members[a.vm] = a.incarnation })
}

// leave shuts an agent down as planned: its state is transferred before it leaves
// the roster.
func (m *model) leave(*rapid.T) {
	m.skipMostly()
	a := m.agents[m.pickVM()]
	a.leaving = true
	m.send(a.table.Leave())
	m.change(func(members map[mn.VMID]mn.Incarnation) { delete(members, a.vm) })
}

func (m *model) book(*rapid.T) {
	key := mn.IdempotencyKey(m.newID())
	m.bookings[key] = &booking{key: key}
	m.keys = append(m.keys, key)
	m.request(m.bookings[key])
}

// retry sends another request for a booking.
func (m *model) retry(*rapid.T) {
	if len(m.keys) == 0 {
		m.t.Skip("no booking to retry")
	}
	m.request(m.bookings[rapid.SampledFrom(m.keys).Draw(m.t, "key")])
}

func (m *model) request(b *booking) {
	first := true
	for _, earlier := range b.messages {
		first = first && earlier.request.FirstUse && earlier.notRun
	}
	members := m.log[rapid.IntRange(max(0, len(m.log)-3), len(m.log)-1).Draw(m.t, "view")].members
	home, ok := rendez.Home(string(b.key), slices.Sorted(maps.Keys(members)))
	if !ok || rapid.IntRange(0, 9).Draw(m.t, "other_agent") == 0 {
		home = m.pickVM()
	}
	msg := &message{to: home, request: calls.Request{
		ID:       mn.RequestID(m.newID()),
		Key:      b.key,
		FirstUse: first,
	}}
	if rapid.Bool().Draw(m.t, "addressed") {
		msg.request.AgentIncarnation = m.agents[home].incarnation
	}
	b.messages = append(b.messages, msg)
	m.inFlight = append(m.inFlight, msg)
}

// deliver delivers a request to an agent. An accepted request stays in flight, so it
// may be delivered again, even to a later process. A rejected one is removed: the
// stream that carried it also carries the answer.
func (m *model) deliver(*rapid.T) {
	msg := m.pickMessage()
	a := m.agents[msg.to]
	c, owner, err := a.table.Begin(msg.request)
	if err != nil && msg.accepted {
		return
	}
	if err != nil {
		m.checkAnswer(msg, err)
		m.inFlight = slices.DeleteFunc(m.inFlight, func(o *message) bool { return o == msg })
		return
	}
	msg.accepted = true
	if owner {
		a.calls = append(a.calls, &running{message: msg, call: c})
	}
}

// checkAnswer checks a rejection of a request. The outcome "not run" refers to the
// request and all that were sent with the same key before it.
func (m *model) checkAnswer(msg *message, err *mn.Error) {
	if err.Outcome != mn.OutcomeNotRun {
		m.unknown++
		return
	}
	for _, sent := range m.bookings[msg.request.Key].messages {
		require.False(m.t, sent.ran, "%s rejected a request as not run that has run: %v", msg.to, err)
		sent.notRun = true
		if sent == msg {
			return
		}
	}
}

func (m *model) start(*rapid.T) {
	waits := func(r *running) bool { return !r.started }
	a := m.pick(func(a *modelAgent) bool { return slices.ContainsFunc(a.calls, waits) })
	i := slices.IndexFunc(a.calls, waits)
	r := a.calls[i]
	if err := r.call.Start(); err != nil {
		a.calls = slices.Delete(a.calls, i, i+1)
		r.message.notRun = true
		return
	}
	r.started = true
	r.message.ran = true
	m.ran++
	b := m.bookings[r.message.request.Key]
	b.runs++
	require.False(m.t, r.message.notRun, "request %s ran after the answer that it has not run", r.message.request.ID)
	require.LessOrEqual(m.t, b.runs, 1, "key %s ran again, at %s", b.key, a.vm)
}

func (m *model) finish(*rapid.T) {
	runs := func(r *running) bool { return r.started }
	a := m.pick(func(a *modelAgent) bool { return slices.ContainsFunc(a.calls, runs) })
	i := slices.IndexFunc(a.calls, runs)
	if rapid.Bool().Draw(m.t, "done") {
		a.calls[i].call.Finish([]byte("ok"), nil)
	} else {
		a.calls[i].call.Finish(nil, mn.Errorf(mn.OutcomeNotKnown, "endpoint"))
	}
	a.calls = slices.Delete(a.calls, i, i+1)
}

func (m *model) settle(*rapid.T) {
	msg := m.pickMessage()
	status := m.agents[msg.to].table.Settle(msg.request)
	if status.Phase == calls.NotRun {
		require.False(m.t, msg.ran, "%s settled a request as not run that has run: %v", msg.to, status.Err)
		msg.notRun = true
	}
	m.checkDone(msg, status)
}

func (m *model) checkDone(msg *message, status calls.Status) {
	if status.Phase == calls.Done {
		require.Equal(m.t, 1, m.bookings[msg.request.Key].runs)
	}
}

// settleKey does what an entry does before it reports "not run" to its caller.
func (m *model) settleKey(*rapid.T) {
	msg := m.pickMessage()
	b := m.bookings[msg.request.Key]
	status := m.agents[msg.to].table.SettleKey(msg.request)
	if status.Phase == calls.NotRun && (!msg.request.FirstUse || msg == b.messages[len(b.messages)-1]) {
		m.checkAnswer(b.messages[len(b.messages)-1], status.Err)
	}
	m.checkDone(msg, status)
}

// TestNoKeyRunsTwice checks that no key runs twice, and that no call that has run is
// reported as "not run", under random interleavings of requests, duplicates, late
// deliveries, kills, partitions, removals, planned leaves and lost or repeated
// transfers.
func TestNoKeyRunsTwice(t *testing.T) {
	ran, unknown := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"tick": m.tick, "see": m.readNext, "see_2": m.readNext, "see_3": m.readNext, "transfer": m.transfer, "late": m.sendLateOutcomes,
			"partition": m.togglePartition, "kill": m.kill, "remove": m.remove, "rejoin": m.rejoin, "leave": m.leave,
			"book": m.book, "retry": m.retry, "deliver": m.deliver, "deliver_2": m.deliver, "deliver_3": m.deliver,
			"start": m.start, "start_2": m.start, "finish": m.finish, "settle": m.settle, "settle_key": m.settleKey,
		})
		ran += m.ran
		unknown += m.unknown
	})
	t.Logf("%d calls ran, %d answers were unknown", ran, unknown)
	require.Positive(t, ran)
}

// TestMain sets more cases than rapid's default. The flag overrides them.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "4000"); err != nil {
		panic(err)
	}
	m.Run()
}
