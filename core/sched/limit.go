package sched

import mn "mustardnotch"

const (
	// minLimitShare bounds how far the limit on running jobs falls.
	minLimitShare = 0.125
	// firstLimitShare is the limit to begin with, while speeds are not known.
	firstLimitShare = 0.25
	// limitCut is what a job that was slow leaves of the limit.
	limitCut = 0.9
	// slowShare is the part of the time allowed for a job past which its time at
	// the endpoint counts as slow: the rest is for waiting its turn.
	slowShare = 0.6
)

// limit is the number of jobs that may be at the endpoint. Slow jobs lower it,
// because a smaller batch serves each job faster; others raise it again while
// work waits, by one for each full batch.
type limit struct {
	now  float64
	most float64
	cut  mn.Millis // when it was last lowered
}

func newLimit(running int) limit {
	most := float64(running)
	return limit{now: max(most*firstLimitShare, 1), most: most}
}

// jobs returns the limit as a whole number.
func (l *limit) jobs() int { return max(int(l.now), 1) }

// ended takes in the end of a job that was at the endpoint since started and
// was allowed that much time from its arrival.
func (l *limit) ended(started, allowed, now mn.Millis, waiting bool) {
	slow := allowed > 0 && float64(now-started) > slowShare*float64(allowed)
	switch {
	case slow && started >= l.cut:
		l.now = max(l.now*limitCut, l.most*minLimitShare)
		l.cut = now
	case !slow && waiting:
		l.now = min(l.now+1/l.now, l.most)
	}
}
