// Package duty decides which front performs the duties that only one process may
// perform at a time, and which run reports were decided.
//
// The duty feed is a log. A claim or a renewal counts if it was appended at the offset
// up to which its writer had read. A front may claim once it has seen no record of
// another holder for the lease plus a margin, by its own clock, which counts the time
// that the VM is suspended. The holder acts only while its last renewal, counted
// from when it was sent, is younger than the lease less a margin for a call.
package duty

import (
	"encoding/json"
	"sync"

	mn "mustardnotch"
)

const (
	// callMargin is the time by which a holder's last call precedes the end of its
	// lease: the time that the call may take to arrive.
	callMargin = 1000 * mn.Millisecond
	// claimMargin is how much longer than the lease another front waits to claim,
	// because of clock drift.
	claimMargin = 200 * mn.Millisecond
	// leaseExtra is how much longer the lease is than the time in which holders
	// must not alternate.
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
	// Term is the renewed term for a renewal, 0 for a claim.
	Term mn.Term `json:"term,omitempty"`
}

// termOf returns the term of a claim at offset. It is one more than the offset: the feed
// starts at offset 0, and term 0 means no term.
func termOf(offset mn.Offset) mn.Term { return mn.Term(offset) + 1 }

// RunReport is the value of reportKey: how many requests of each customer started to run
// in a window, as it was decided.
type RunReport struct {
	Window int64                   `json:"window"`
	Counts map[mn.CustomerID]int64 `json:"counts"`
}

// Holder follows the duty feed and claims the duty for one process. It is safe for
// concurrent use.
type Holder struct {
	vm          mn.VMID
	incarnation mn.Incarnation
	lease       mn.Millis
	clock       mn.Clock

	mu sync.Mutex
	// next is the end of the feed as far as this process has read or appended,
	// peerOffset the highest end that a peer front reported.
	next       mn.Offset
	peerOffset mn.Offset
	// lastClaim is the newest claim or renewal, with the term of a claim filled in.
	// seenAt is when this process last learned of a new one, or of a higher
	// peerOffset; at first it is the start of the process.
	lastClaim claim
	seenAt    mn.Millis
	// report is the newest decided report.
	report *RunReport
	// term is the term of this process's own claim, 0 if lastClaim is another's.
	// renewedAt is when the last record that it appended was sent.
	term      mn.Term
	renewedAt mn.Millis
	// hasRead means that the feed was read at least once since New or Resign.
	hasRead bool
}

// New returns a Holder for a process. Two holders must not alternate within lease.
func New(vm mn.VMID, incarnation mn.Incarnation, lease mn.Millis, clock mn.Clock) *Holder {
	return &Holder{vm: vm, incarnation: incarnation, lease: lease + leaseExtra, clock: clock, seenAt: clock.Now()}
}

// Apply applies items that were read; next is the offset after them.
func (h *Holder) Apply(items []mn.Item, next mn.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasRead = true
	for _, i := range items {
		switch i.Key {
		case holderKey:
			var c claim
			if json.Unmarshal(i.Value, &c) != nil {
				continue // An undecodable record claims nothing.
			}
			if c.Term == 0 {
				c.Term = termOf(i.Offset)
			}
			h.lastClaim, h.seenAt = c, h.clock.Now()
		case reportKey:
			var r RunReport
			if json.Unmarshal(i.Value, &r) == nil && (h.report == nil || r.Window > h.report.Window) {
				h.report = &r
			}
		}
	}
	if next > h.next {
		h.next = next
	}
	// A claim of this process whose reply was lost counts too, once it is renewed.
	h.term = 0
	if h.lastClaim.VM == h.vm && h.lastClaim.Incarnation == h.incarnation {
		h.term = h.lastClaim.Term
	}
}

// Next returns the next offset to read, or a negative one before the first read.
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
	report *RunReport
}

// ProposeLease returns the claim or renewal to append now. It returns false if this
// process may not claim yet.
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
		return Proposal{}, false // Can't happen: a claim always encodes.
	}
	return Proposal{Key: holderKey, Value: value, Offset: h.next, sentAt: now, claim: c}, true
}

// untilClaim returns how long until this process may claim or renew. After a restart,
// a VM that was the holder doesn't wait for its own lease to end.
func (h *Holder) untilClaim(now mn.Millis) mn.Millis {
	if h.lastClaim.VM == "" || h.lastClaim.VM == h.vm {
		return 0
	}
	return h.seenAt + h.lease + claimMargin - now
}

// ReceiveOffset records the end of the duty feed as a peer front knows it. An end
// beyond those received before shows that a holder still appends records, so this
// process waits for another lease before it claims.
func (h *Holder) ReceiveOffset(next mn.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next > h.peerOffset {
		h.peerOffset, h.seenAt = next, h.clock.Now()
	}
}

// UntilClaim returns how long until this process may claim the duty, 0 if it may claim
// it now.
func (h *Holder) UntilClaim() mn.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.untilClaim(h.clock.Now()))
}

// Appended records that a proposal was appended at offset.
func (h *Holder) Appended(p Proposal, offset mn.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next = max(h.next, offset+1)
	h.renewedAt = p.sentAt
	if p.report != nil {
		h.report = p.report
		return
	}
	if p.claim.Term == 0 {
		p.claim.Term = termOf(offset)
	}
	h.lastClaim, h.seenAt, h.term = p.claim, h.clock.Now(), p.claim.Term
}

// Held returns this process's term and reports whether the process may act under it
// now.
func (h *Holder) Held() (mn.Term, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term, h.term > 0 && h.clock.Now()-h.renewedAt < h.lease-callMargin
}

// Resign gives up the duty when the process leaves.
func (h *Holder) Resign() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = 0
	h.hasRead = false
}

// DecidedReport returns the newest decided run report, nil if there is none.
func (h *Holder) DecidedReport() *RunReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.report
}

// ProposeReport returns the record that decides r once it is appended.
func (h *Holder) ProposeReport(r RunReport) (Proposal, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return Proposal{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return Proposal{Key: reportKey, Value: value, Offset: h.next, sentAt: h.clock.Now(), report: &r}, nil
}
