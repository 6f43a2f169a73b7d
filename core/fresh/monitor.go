package fresh

import (
	"context"
	"sync"

	mn "mustardnotch"
)

// NotEstablished is the code of a change that is in the log while it could not
// be confirmed that a majority of the processes knows of it.
const NotEstablished mn.Code = 411

func init() {
	mn.RegisterCode(mn.CodeDoc{
		Code: NotEstablished, Title: "change not established", Since: "0.1",
		Severity: mn.SeverityOperator, Outcome: mn.OutcomeRan,
		Text: "The change is in the log, but a majority of the processes could not be told of it in time. " +
			"Processes that can read the log follow it already. Repeat the command until it succeeds.",
	})
}

// Params sets how fast a process notices that it is not current.
type Params struct {
	// MaxStaleness is how long evidence lasts. A withdrawn key stops working Life
	// after its withdrawal was acknowledged, in every process.
	MaxStaleness mn.Millis
	// ProbeInterval is the time between rounds of hearing from peers.
	ProbeInterval mn.Millis
	// ProbeTimeout bounds the wait for one peer's answer.
	ProbeTimeout mn.Millis
	// Anchors is how many entries hear from a majority on behalf of all.
	Anchors int
}

// DefaultBillerParams keeps withdrawal well within five seconds.
func DefaultParams() Params {
	return Params{
		MaxStaleness:  3 * mn.Second,
		ProbeInterval: 400 * mn.Millisecond,
		ProbeTimeout:  600 * mn.Millisecond,
		Anchors:       3,
	}
}

// ProbeRequest is what one process tells another about the control stream.
type ProbeRequest struct {
	VM          mn.VMID
	Incarnation mn.Incarnation
	Offset      mn.Offset
	Established mn.Offset
}

// ProbeReply is what a process answers when it is told something.
type ProbeReply struct {
	VM          mn.VMID
	Incarnation mn.Incarnation
	// Offset is the highest offset the process knows of, folded or not.
	Offset      mn.Offset
	Established mn.Offset
	// Current says that the process is current; Age is then how old its
	// evidence was when it answered.
	Current bool
	Age     mn.Millis
}

// Prober tells a peer something and returns its answer.
type Prober interface {
	Probe(ctx context.Context, to mn.Member, told ProbeRequest) (ProbeReply, error)
}

// ControlState is the fold of the control stream, as [conf.Fold] implements it.
type ControlState interface {
	mn.ViewSource
	// RostersSince returns every roster in force at offset after or later, and
	// whether the fold remembers them all.
	RostersSince(after mn.Offset) ([]map[mn.VMID]mn.Member, bool)
}

// Monitor implements [mn.Currency] for one process.
type Monitor struct {
	vm            mn.VMID
	incarnation   mn.Incarnation
	state         ControlState
	clock         mn.Clock
	prober        Prober
	params        Params
	roundRequests chan struct{}

	mu                 sync.Mutex
	evidenceAt         mn.Millis
	hasEvidence        bool
	fromMajority       bool
	highestKnown       mn.Offset
	established        mn.Offset
	establishedChanged chan struct{}
	failure            error
	failureOffset      mn.Offset
}

// New returns a monitor that is not current.
func New(vm mn.VMID, incarnation mn.Incarnation, folds ControlState, clock mn.Clock, hearer Prober, params Params) *Monitor {
	return &Monitor{
		vm:                 vm,
		incarnation:        incarnation,
		state:              folds,
		clock:              clock,
		prober:             hearer,
		params:             params,
		roundRequests:      make(chan struct{}, 1),
		establishedChanged: make(chan struct{}),
	}
}

// CheckCurrent implements [mn.Currency].
func (m *Monitor) CheckCurrent() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentLocked()
}

func (m *Monitor) currentLocked() error {
	if m.failure != nil && m.state.View().Offset <= m.failureOffset {
		return notCurrentError("%w", m.failure)
	}
	if !m.hasEvidence {
		return notCurrentError("the process has not yet caught up with the log or its peers")
	}
	if age := m.clock.Now() - m.evidenceAt; age >= m.params.MaxStaleness {
		return notCurrentError("last heard from the log or a majority of peers %d ms ago", age)
	}
	return nil
}

func notCurrentError(format string, args ...any) error {
	return mn.Errorf(mn.NotCurrent, format, args...).WithRetryAfter(200 * mn.Millisecond)
}

// EvidenceAge returns how old the evidence is, and false if there is none.
func (m *Monitor) EvidenceAge() (mn.Millis, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now() - m.evidenceAt, m.hasEvidence
}

// HighestKnown returns the highest offset that the process knows of.
func (m *Monitor) HighestKnown() mn.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.highestKnown, m.state.View().Offset)
}

// Established returns the highest offset known to be established.
func (m *Monitor) Established() mn.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.established
}

// ObserveHead records that a read of the log which was sent at stamp returned
// head. The caller has folded what the read returned.
func (m *Monitor) ObserveHead(stamp mn.Millis, head mn.Offset) {
	folded := m.state.View().Offset
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestKnown = max(m.highestKnown, head)
	if folded >= head {
		m.recordEvidenceLocked(stamp, false)
	}
}

func (m *Monitor) recordEvidenceLocked(stamp mn.Millis, byMajority bool) {
	if !m.hasEvidence || stamp > m.evidenceAt {
		m.evidenceAt = stamp
		m.hasEvidence = true
		m.fromMajority = byMajority
	}
}

// ShouldReadLog says whether the process should read the log itself: it is an
// anchor, or no anchor keeps it current. A majority that knows of no new record
// is no reason not to look whether the log has one.
func (m *Monitor) ShouldReadLog() bool {
	if m.IsAnchor() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.hasEvidence || m.fromMajority || m.clock.Now()-m.evidenceAt > m.params.MaxStaleness/2
}

// Fail makes the process not current until its fold goes on, such as when the
// log holds a record that it can't read.
func (m *Monitor) Fail(err error) {
	folded := m.state.View().Offset
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = err
	m.failureOffset = folded
}

// HandleProbe records what a peer told and answers it.
func (m *Monitor) HandleProbe(t ProbeRequest) ProbeReply {
	folded := m.state.View().Offset
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestKnown = max(m.highestKnown, t.Offset)
	m.observeEstablishedLocked(t.Established)
	return ProbeReply{
		VM:          m.vm,
		Incarnation: m.incarnation,
		Offset:      max(m.highestKnown, folded),
		Established: m.established,
		Current:     m.currentLocked() == nil,
		Age:         m.clock.Now() - m.evidenceAt,
	}
}

// ObserveEstablished records that off is established, as a peer or a snapshot
// says.
func (m *Monitor) ObserveEstablished(off mn.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEstablishedLocked(off)
}

func (m *Monitor) observeEstablishedLocked(off mn.Offset) {
	if off <= m.established {
		return
	}
	m.established = off
	close(m.establishedChanged)
	m.establishedChanged = make(chan struct{})
}

// Establish waits until off is established. The caller has folded off.
func (m *Monitor) Establish(ctx context.Context, off mn.Offset) error {
	for {
		m.mu.Lock()
		done, advanced := m.established >= off, m.establishedChanged
		m.mu.Unlock()
		if done {
			return nil
		}
		select {
		case m.roundRequests <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return mn.Errorf(NotEstablished, "offset %d is in the log; only offset %d is known to a majority", off, m.Established())
		case <-advanced:
		}
	}
}
