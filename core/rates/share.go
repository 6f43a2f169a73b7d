package rates

import (
	"slices"

	mn "mustardnotch"
)

const (
	// LoanTTL is how long a borrowed token may be spent, from when it was asked
	// for.
	LoanTTL = 100 * mn.Millisecond
	// clockDriftMargin covers the drift between two processes' clocks over Life.
	clockDriftMargin = 10 * mn.Millisecond
	// epsilon absorbs rounding where fractions should add up to whole tokens.
	epsilon = 1e-9
)

// loan is an amount lent, which counts against the lender's cap until ends.
type loan struct {
	id        string
	amount    float64
	expiresAt mn.Millis
}

// share is one process's part of one customer's bucket. Its methods are to be
// called under the lock of the Book, and those that take settled only while
// the process is current.
type share struct {
	// rate is the customer's, in requests a millisecond.
	rate  float64
	burst float64
	// fraction is the part of the bucket in force at this process.
	fraction float64
	// targetFraction is the fraction of the latest division, as of offset.
	targetFraction float64
	divisionOffset mn.Offset
	// pending says that wanted is not in force yet; settledAt is when the
	// division was first seen to be settled, if settled is set.
	pending   bool
	settled   bool
	settledAt mn.Millis

	level float64
	// creditedAt is the instant up to which accrual is credited.
	creditedAt mn.Millis
	// lent and held are in the order in which they end.
	lent     []loan
	borrowed []loan
}

// setFraction brings a new division in force as far as it takes away, and notes
// what it gives. It does not credit accrual first, so the span since the last
// credit accrues at the smallest fraction in force since.
func (s *share) setFraction(fraction float64, offset mn.Offset) {
	s.fraction = min(s.fraction, fraction)
	s.targetFraction = fraction
	s.divisionOffset = offset
	s.pending = true
	s.settled = false
	s.clamp()
}

// setLimits sets the customer's rate in requests a second, and burst.
func (s *share) setLimits(rate, burst float64) {
	s.rate = rate / float64(mn.Second)
	s.burst = burst
	s.clamp()
}

// reset gives the share up, as after a gap in what was read of the log.
func (s *share) reset(now mn.Millis) {
	s.fraction = 0
	s.level = 0
	s.creditedAt = now
}

// applyTarget brings the latest division in force at once.
func (s *share) applyTarget() {
	s.fraction = s.targetFraction
	s.pending = false
}

// fill makes the share full.
func (s *share) fill() {
	s.level = s.burst
	s.clamp()
}

// refresh credits accrual up to now, and brings a larger fraction in force once
// all current processes know of it and loans made before then have ended.
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

// accrue credits the span since the last credit in steps that end where a loan
// ends, since a loan counts against the cap until then.
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

func (s *share) creditTo(now mn.Millis) {
	if now <= s.creditedAt {
		return
	}
	s.level += s.fraction * s.rate * float64(now-s.creditedAt)
	s.creditedAt = now
	s.clamp()
}

func (s *share) clamp() {
	room := s.fraction * s.burst
	for _, l := range s.lent {
		room -= l.amount
	}
	s.level = max(0, min(s.level, room))
}

// available returns the tokens that can be spent here now.
func (s *share) available() float64 {
	sum := s.level
	for _, l := range s.borrowed {
		sum += l.amount
	}
	return sum
}

// take spends one token, borrowed ones first.
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

// lend takes up to amount from the level for the loan id. A repeat of a loan
// gets the same answer and takes nothing.
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

// addBorrowed adds a loan that was asked for at the instant asked. What fits under
// the share's own cap joins its level, since the cap bounds what is there to
// be spent at any instant; the rest ends with the loan.
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
