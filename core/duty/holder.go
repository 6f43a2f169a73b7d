// Package duty decides which front performs the duties that one process at a
// time may perform, and what it reports.
//
// The duty feed is a log: a claim or renewal counts if it was appended at the
// offset up to which its writer had read. A front may claim once it has seen no
// record of another holder for a lease and some more, by its own clock, which
// counts suspension. The holder acts only while its last renewal, counted from
// when it was sent, is younger than the lease less a margin for a call.
package duty

import (
	"encoding/json"
	"sync"

	mn "mustardnotch"
)

const (
	// callMargin is kept between the last call of a holder and the end of its
	// lease: the time that a call may take on the way.
	callMargin = 1000 * mn.Millisecond
	// claimMargin is added to the lease before another front claims, for the
	// drift of two clocks.
	claimMargin = 200 * mn.Millisecond
	// leaseExtra is the part of the lease beyond the time in which holders must
	// not alternate.
	leaseExtra = 200 * mn.Millisecond
)

// holderKey and reportKey are the keys of the feed.
const (
	holderKey = "holder"
	reportKey = "report"
)

// claim is the value of holderKey.
type claim struct {
	VM          mn.VMID        `json:"vm"`
	Incarnation mn.Incarnation `json:"incarnation"`
	// Term is that of the claim that a renewal renews, 0 for a claim.
	Term mn.Term `json:"term,omitempty"`
}

// termOf returns the term of a claim at offset; 0 is no term.
func termOf(offset mn.Offset) mn.Term { return mn.Term(offset) + 1 }

// Report is the value of reportKey: what was decided to be reported.
type Report struct {
	Window int64                   `json:"window"`
	Counts map[mn.CustomerID]int64 `json:"counts"`
}

// Holder follows the duty feed. It is safe for concurrent use.
type Holder struct {
	vm          mn.VMID
	incarnation mn.Incarnation
	lease       mn.Millis
	clock       mn.Clock

	mu         sync.Mutex
	next       mn.Offset
	peerOffset mn.Offset
	lastClaim  claim
	seenAt     mn.Millis
	report     *Report
	term       mn.Term
	renewedAt  mn.Millis
	hasRead    bool
}

// New returns a holder for a process; apart is the time in which two holders
// must not alternate.
func New(vm mn.VMID, incarnation mn.Incarnation, apart mn.Millis, clock mn.Clock) *Holder {
	return &Holder{vm: vm, incarnation: incarnation, lease: apart + leaseExtra, clock: clock, seenAt: clock.Now()}
}

// Apply takes in items that were read, and the offset after them.
func (h *Holder) Apply(items []mn.Item, next mn.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasRead = true
	for _, i := range items {
		switch i.Key {
		case holderKey:
			var c claim
			if json.Unmarshal(i.Value, &c) != nil {
				continue // Another writer's bytes claim nothing.
			}
			if c.Term == 0 {
				c.Term = termOf(i.Offset)
			}
			h.lastClaim, h.seenAt = c, h.clock.Now()
		case reportKey:
			var r Report
			if json.Unmarshal(i.Value, &r) == nil && (h.report == nil || r.Window > h.report.Window) {
				h.report = &r
			}
		}
	}
	if next > h.next {
		h.next = next
	}
	// A claim of this process whose answer was lost counts too, once renewed.
	h.term = 0
	if h.lastClaim.VM == h.vm && h.lastClaim.Incarnation == h.incarnation {
		h.term = h.lastClaim.Term
	}
}

// Next returns the offset from which to read on, negative before any read.
func (h *Holder) Next() mn.Offset {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasRead {
		return -1
	}
	return h.next
}

// Proposal is a record to append at an offset.
type Proposal struct {
	Key    string
	Value  []byte
	Offset mn.Offset
	sentAt mn.Millis
	claim  claim
	report *Report
}

// ProposeLease returns the claim or renewal that is to be appended now, or false.
func (h *Holder) ProposeLease() (Proposal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.hasRead || h.untilClaim(now) > 0 {
		return Proposal{}, false
	}
	c := claim{VM: h.vm, Incarnation: h.incarnation, Term: h.term}
	value, err := json.Marshal(c)
	if err != nil {
		return Proposal{}, false // A claim of plain strings always encodes.
	}
	return Proposal{Key: holderKey, Value: value, Offset: h.next, sentAt: now, claim: c}, true
}

// untilClaim returns how long until this process may claim or renew. A VM that was the
// holder before its process started anew need not wait for itself.
func (h *Holder) untilClaim(now mn.Millis) mn.Millis {
	if h.lastClaim.VM == "" || h.lastClaim.VM == h.vm {
		return 0
	}
	return h.seenAt + h.lease + claimMargin - now
}

// ReceiveOffset takes in how far another front knows the duty feed: what is beyond this
// front's own knowledge shows that somebody holds the duty.
func (h *Holder) ReceiveOffset(next mn.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next > h.peerOffset {
		h.peerOffset, h.seenAt = next, h.clock.Now()
	}
}

// UntilClaim returns how long until this process may claim the duty, 0 if it may now.
func (h *Holder) UntilClaim() mn.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.untilClaim(h.clock.Now()))
}

// Appended takes in that a bid was appended at offset.
func (h *Holder) Appended(b Proposal, offset mn.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next = max(h.next, offset+1)
	h.renewedAt = b.sentAt
	if b.report != nil {
		h.report = b.report
		return
	}
	if b.claim.Term == 0 {
		b.claim.Term = termOf(offset)
	}
	h.lastClaim, h.seenAt, h.term = b.claim, h.clock.Now(), b.claim.Term
}

// Held returns the term that this process holds, if it may act now.
func (h *Holder) Held() (mn.Term, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term, h.term > 0 && h.clock.Now()-h.renewedAt < h.lease-callMargin
}

// Resign gives the duty up, for a process that leaves.
func (h *Holder) Resign() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = 0
	h.hasRead = false
}

// DecidedReport returns the newest report that was decided, nil for none.
func (h *Holder) DecidedReport() *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.report
}

// ProposeReport returns the record that decides a report.
func (h *Holder) ProposeReport(r Report) (Proposal, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return Proposal{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return Proposal{Key: reportKey, Value: value, Offset: h.next, sentAt: h.clock.Now(), report: &r}, nil
}
