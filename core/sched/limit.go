package sched

import mn "mustardnotch"

const (
	// minLimitShare bounds how far the limit on running jobs falls.
	minLimitShare = 0.125
	// firstLimitShare is the limit to begin with, while speeds are not known.
	firstLimitShare = 0.25
	// limitCut is what a job for which the batch was too slow leaves of the limit.
	limitCut = 0.9
	// promptShare is the part of the time allowed for a job that it may wait and
	// still ought to be served in time.
	promptShare = 0.5
)

// limit is the number of jobs that may be at the endpoint. It falls when a job
// ended late, or when one that had not waited long would, because a smaller
// batch serves each job faster. Jobs in time raise it again while work waits,
// by one for each full batch.
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

// ended takes in the end of a job that was at the endpoint since started.
func (l *limit) ended(started, deadline, now mn.Millis, waiting bool) {
	switch {
	case deadline != 0 && now > deadline:
		l.lower(started, now)
	case waiting:
		l.now = min(l.now+1/l.now, l.most)
	}
}

// refused takes in that a job that came at arrived could not start in time.
func (l *limit) refused(arrived, deadline, now mn.Millis) {
	if float64(now-arrived) <= promptShare*float64(deadline-arrived) {
		l.lower(arrived, now)
	}
}

// lower cuts the limit for a job that began at since, unless it was cut later.
func (l *limit) lower(since, now mn.Millis) {
	if since < l.cut {
		return
	}
	l.now = max(l.now*limitCut, l.most*minLimitShare)
	l.cut = now
	cuts.Add(1)
}
