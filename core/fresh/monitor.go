package fresh

import (
	"context"
	"sync"

	mn "mustardnotch"
)

// NotEstablished is the code of a change that is in the log but was not
// confirmed to be known to a majority of the processes in time.
const NotEstablished mn.Code = 411

func init() {
	mn.RegisterCode(mn.CodeDoc{
		Code: NotEstablished, Title: "change not established", Since: "0.1",
		Severity: mn.SeverityOperator, Outcome: mn.OutcomeRan,
		Text: "The change is in the log, but a majority of the processes could not be notified of it in time. " +
			"Processes that can read the log apply it already. Repeat the command until it succeeds.",
	})
}

// Params sets how soon a process notices that it is no longer current.
type Params struct {
	// MaxStaleness is how long evidence stays valid. A withdrawn key stops
	// working in every process at most MaxStaleness after its withdrawal was
	// acknowledged.
	MaxStaleness mn.Millis
	// ProbeInterval is the time between rounds of probes.
	ProbeInterval mn.Millis
	// ProbeTimeout bounds the wait for the replies of one round, and then the
	// wait until the process has applied the highest offset that they report.
	ProbeTimeout mn.Millis
	// Anchors is the number of entries that probe a majority on behalf of all
	// processes.
	Anchors int
}

// DefaultParams returns parameters under which a withdrawn key stops working
// well within five seconds.
func DefaultParams() Params {
	return Params{
		MaxStaleness:  3 * mn.Second,
		ProbeInterval: 400 * mn.Millisecond,
		ProbeTimeout:  600 * mn.Millisecond,
		Anchors:       3,
	}
}

// ProbeRequest is the state of the control stream that a process sends to a
// peer.
type ProbeRequest struct {
	VM          mn.VMID
	Incarnation mn.Incarnation
	Offset      mn.Offset
	Established mn.Offset
}

// ProbeReply is a peer's answer to a [ProbeRequest].
type ProbeReply struct {
	VM          mn.VMID
	Incarnation mn.Incarnation
	// Offset is the highest offset that the peer knows of, whether it has
	// applied the record or not.
	Offset      mn.Offset
	Established mn.Offset
	// Current reports whether the peer is current. Age is how old its evidence
	// was when it answered.
	Current bool
	Age     mn.Millis
}

// Prober sends a probe to a peer and returns its reply.
type Prober interface {
	Probe(ctx context.Context, to mn.Member, req ProbeRequest) (ProbeReply, error)
}

// ControlState is the applied state of the control stream. [conf.StateMachine]
// implements it.
type ControlState interface {
	mn.ViewSource
	// RostersSince returns every roster in force at offset after or later, and
	// whether all of them are still remembered.
	RostersSince(after mn.Offset) ([]map[mn.VMID]mn.Member, bool)
}

// Monitor implements [mn.FreshnessChecker] for one process.
type Monitor struct {
	vm            mn.VMID
	incarnation   mn.Incarnation
	state         ControlState
	clock         mn.Clock
	prober        Prober
	params        Params
	roundRequests chan struct{}

	mu sync.Mutex
	// evidenceAt is the instant of the latest evidence. fromMajority reports
	// whether that evidence came from a majority of replies to probes. Both are
	// valid if hasEvidence is true.
	evidenceAt         mn.Millis
	hasEvidence        bool
	fromMajority       bool
	highestKnown       mn.Offset
	established        mn.Offset
	establishedChanged chan struct{}
	// failure is the last error passed to Fail. It applies until the process's
	// offset is above failureOffset.
	failure       error
	failureOffset mn.Offset
}

// New returns a monitor that is not current.
func New(vm mn.VMID, incarnation mn.Incarnation, state ControlState, clock mn.Clock, prober Prober, params Params) *Monitor {
	return &Monitor{
		vm:                 vm,
		incarnation:        incarnation,
		state:              state,
		clock:              clock,
		prober:             prober,
		params:             params,
		roundRequests:      make(chan struct{}, 1),
		establishedChanged: make(chan struct{}),
	}
}

// CheckCurrent implements [mn.FreshnessChecker].
func (m *Monitor) CheckCurrent() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.checkCurrentLocked()
}

func (m *Monitor) checkCurrentLocked() error {
	if m.failure != nil && m.state.View().Offset <= m.failureOffset {
		return notCurrentError("%w", m.failure)
	}
	if !m.hasEvidence {
		return notCurrentError("the process has not yet caught up with the log or its peers")
	}
	if age := m.clock.Now() - m.evidenceAt; age >= m.params.MaxStaleness {
		return notCurrentError("the latest evidence of freshness is %d ms old", age)
	}
	return nil
}

func notCurrentError(format string, args ...any) error {
	return mn.Errorf(mn.NotCurrent, format, args...).WithRetryAfter(200 * mn.Millisecond)
}

// EvidenceAge returns the age of the evidence. It returns false if there is
// none.
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

// Established returns the highest offset that the process knows to be
// established.
func (m *Monitor) Established() mn.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.established
}

// ObserveHead records that a read of the log sent at sentAt returned head. The
// caller has already applied the records that the read returned.
func (m *Monitor) ObserveHead(sentAt mn.Millis, head mn.Offset) {
	applied := m.state.View().Offset
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestKnown = max(m.highestKnown, head)
	if applied >= head {
		m.recordEvidenceLocked(sentAt, false)
	}
}

func (m *Monitor) recordEvidenceLocked(sentAt mn.Millis, fromMajority bool) {
	if !m.hasEvidence || sentAt > m.evidenceAt {
		m.evidenceAt = sentAt
		m.hasEvidence = true
		m.fromMajority = fromMajority
	}
}

// ShouldReadLog reports whether the process should read the log itself: it is
// an anchor, or no anchor keeps it current. A process whose evidence comes from
// a majority of peers reads too, since the log may hold a record that none of
// them knows of.
func (m *Monitor) ShouldReadLog() bool {
	if m.IsAnchor() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.hasEvidence || m.fromMajority || m.clock.Now()-m.evidenceAt > m.params.MaxStaleness/2
}

// Fail makes the process not current until its offset advances. It is used for
// errors such as a record in the log that the process can't decode.
func (m *Monitor) Fail(err error) {
	applied := m.state.View().Offset
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = err
	m.failureOffset = applied
}

// HandleProbe records the offsets in a peer's probe and returns the reply.
func (m *Monitor) HandleProbe(req ProbeRequest) ProbeReply {
	applied := m.state.View().Offset
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestKnown = max(m.highestKnown, req.Offset)
	m.observeEstablishedLocked(req.Established)
	return ProbeReply{
		VM:          m.vm,
		Incarnation: m.incarnation,
		Offset:      max(m.highestKnown, applied),
		Established: m.established,
		Current:     m.checkCurrentLocked() == nil,
		Age:         m.clock.Now() - m.evidenceAt,
	}
}

// ObserveEstablished records that off is established, according to a peer or a
// snapshot.
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

// Establish waits until off is established. The caller has already applied the
// record at off.
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
