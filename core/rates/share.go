package rates

import (
	"slices"

	mn "mustardnotch"
)

const (
	// LoanTTL is how long a borrowed token can be spent, counted from the time
	// of the request for it.
	LoanTTL = 100 * mn.Millisecond
	// clockDriftMargin covers the drift between the clocks of two processes over
	// LoanTTL.
	clockDriftMargin = 10 * mn.Millisecond
	// epsilon absorbs rounding errors where fractions should add up to whole
	// tokens.
	epsilon = 1e-9
)

// loan is an amount of tokens lent or borrowed. A lent amount counts against the
// lender's cap until expiresAt.
type loan struct {
	id        string
	amount    float64
	expiresAt mn.Millis
}

// share is one process's part of one customer's bucket. Callers must hold the
// lock of the Ledger, and may call refresh only while the process is current.
type share struct {
	// rate is the customer's total rate, in requests per millisecond.
	rate  float64
	burst float64
	// fraction is the part of the bucket that applies at this process now.
	fraction float64
	// targetFraction is this process's fraction in the latest division, which
	// was made at divisionOffset of the control stream.
	targetFraction float64
	divisionOffset mn.Offset
	// pending reports whether targetFraction doesn't apply yet. settled reports
	// whether the latest division was seen to be settled, settledAt when that
	// was first the case.
	pending   bool
	settled   bool
	settledAt mn.Millis

	level float64
	// creditedAt is the instant up to which accrued tokens have been added to
	// level.
	creditedAt mn.Millis
	// lent and borrowed are ordered by expiry, the earliest first.
	lent     []loan
	borrowed []loan
}

// setFraction sets the target fraction and applies it at once if it is smaller
// than the present one. It doesn't credit accrual first, so the time since the
// last credit counts at the smallest fraction that applied in it.
func (s *share) setFraction(fraction float64, offset mn.Offset) {
	s.fraction = min(s.fraction, fraction)
	s.targetFraction = fraction
	s.divisionOffset = offset
	s.pending = true
	s.settled = false
	s.clamp()
}

// setLimits sets the customer's rate, in requests per second, and burst.
func (s *share) setLimits(rate, burst float64) {
	s.rate = rate / float64(mn.Second)
	s.burst = burst
	s.clamp()
}

// reset gives up the share, because changes of the division may have been
// missed.
func (s *share) reset(now mn.Millis) {
	s.fraction = 0
	s.level = 0
	s.creditedAt = now
}

// applyTarget applies the fraction of the latest division.
func (s *share) applyTarget() {
	s.fraction = s.targetFraction
	s.pending = false
}

// fill sets the level to the cap of the share.
func (s *share) fill() {
	s.level = s.burst
	s.clamp()
}

// refresh credits accrual up to now. settled is the offset up to which all current
// processes have read. A larger fraction applies once settled has reached the
// division and the loans made before then have expired.
func (s *share) refresh(now mn.Millis, settled mn.Offset) {
	s.accrue(now)
	if !s.pending || settled < s.divisionOffset {
		return
	}
	if !s.settled {
		s.settled = true
		s.settledAt = now
	}
	if s.targetFraction > s.fraction && now-s.settledAt < LoanTTL+clockDriftMargin {
		return
	}
	s.applyTarget()
}

// accrue credits the time since the last credit in steps that end where a lent
// loan expires, because the loan counts against the cap until then. It drops
// expired loans.
func (s *share) accrue(now mn.Millis) {
	for len(s.lent) > 0 && s.lent[0].expiresAt <= now {
		s.creditTo(s.lent[0].expiresAt)
		s.lent = s.lent[1:]
	}
	s.creditTo(now)
	for len(s.borrowed) > 0 && s.borrowed[0].expiresAt <= now {
		s.borrowed = s.borrowed[1:]
	}
}

// creditTo adds the tokens that accrued up to now to the level.
func (s *share) creditTo(now mn.Millis) {
	if now <= s.creditedAt {
		return
	}
	s.level += s.fraction * s.rate * float64(now-s.creditedAt)
	s.creditedAt = now
	s.clamp()
}

// clamp limits the level to the cap: the share of the burst less the tokens that
// are lent.
func (s *share) clamp() {
	room := s.fraction * s.burst
	for _, l := range s.lent {
		room -= l.amount
	}
	s.level = max(0, min(s.level, room))
}

// available returns the number of tokens that this process can spend now.
func (s *share) available() float64 {
	sum := s.level
	for _, l := range s.borrowed {
		sum += l.amount
	}
	return sum
}

// take spends one token, borrowed ones first. It returns false if there is none.
func (s *share) take() bool {
	if s.available() < 1-epsilon {
		return false
	}
	need := 1.0
	for len(s.borrowed) > 0 && need > 0 {
		used := min(need, s.borrowed[0].amount)
		s.borrowed[0].amount -= used
		need -= used
		if s.borrowed[0].amount <= 0 {
			s.borrowed = s.borrowed[1:]
		}
	}
	s.level = max(0, s.level-need)
	return true
}

// lend moves up to amount from the level to the loan with the given id. A
// repeated request for a loan gets the same answer and takes nothing.
func (s *share) lend(id string, amount float64) float64 {
	for _, l := range s.lent {
		if l.id == id {
			return l.amount
		}
	}
	granted := min(amount, s.level)
	if granted <= 0 {
		return 0
	}
	s.level -= granted
	s.lent = append(s.lent, loan{id: id, amount: granted, expiresAt: s.creditedAt + LoanTTL + clockDriftMargin})
	return granted
}

// addBorrowed adds a loan that was requested at the instant asked. The part that
// fits under the share's own cap is added to the level, because the cap bounds
// what can be spent at any instant anyway; the rest expires with the loan.
func (s *share) addBorrowed(amount float64, asked mn.Millis) {
	if amount <= 0 || asked+LoanTTL <= s.creditedAt {
		return
	}
	before := s.level
	s.level += amount
	s.clamp()
	rest := amount - (s.level - before)
	if rest <= epsilon {
		return
	}
	l := loan{amount: rest, expiresAt: asked + LoanTTL}
	i := len(s.borrowed)
	for i > 0 && s.borrowed[i-1].expiresAt > l.expiresAt {
		i--
	}
	s.borrowed = slices.Insert(s.borrowed, i, l)
}
