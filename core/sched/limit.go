package sched

import mn "mustardnotch"

const (
	// minLimitShare bounds how far the limit on running jobs falls.
	minLimitShare = 0.125
	// limitCut is what a cut leaves of the limit.
	limitCut = 0.92
	// missGain is the weight of one job in the moving average of missed ones.
	missGain = 1 / 8.0
	// Above highMiss the limit is cut, below it grows.
	highMiss = 0.4
	// promptShare is the part of its time that a job may wait and still ought to
	// be in time.
	promptShare = 0.5
)

// limit is the number of jobs that may be at the endpoint. It falls while many
// jobs end late, or are refused though they hardly waited, because a smaller
// batch serves each job faster. While few do and work waits, it grows by one
// for each full batch. Jobs that waited for long are no sign of a slow batch: a
// customer that floods the queue has many of them whatever becomes of others.
type limit struct {
	now  float64
	most float64
	miss float64   // moving average
	cut  mn.Millis // when it was last lowered
}

func newLimit(running int) limit { return limit{now: float64(running), most: float64(running)} }

// jobs returns the limit as a whole number.
func (l *limit) jobs() int { return max(int(l.now), 1) }

// ended takes in the end of a job that was at the endpoint since started.
func (l *limit) ended(w *waiter, started, now mn.Millis, waiting bool) {
	late := w.job.Deadline != 0 && now > w.job.Deadline
	switch {
	case late && w.prompt(started):
		l.missed(started, now)
		return
	case late:
		return
	case w.prompt(started):
		l.miss -= l.miss * missGain
	}
	if l.miss < highMiss && waiting {
		l.now = min(l.now+1/l.now, l.most)
	}
}

// refused takes in that w was refused when its turn had come.
func (l *limit) refused(w *waiter, now mn.Millis) {
	if w.prompt(now) {
		l.missed(w.arrived, now)
	}
}

// missed counts a job that began at since and cuts the limit, unless it was
// cut after that.
func (l *limit) missed(since, now mn.Millis) {
	l.miss += (1 - l.miss) * missGain
	if l.miss < highMiss || since < l.cut {
		return
	}
	l.now = max(l.now*limitCut, l.most*minLimitShare)
	l.cut = now
	cuts.Add(1)
}

// prompt says whether w, whose turn came at now, had hardly waited.
func (w *waiter) prompt(now mn.Millis) bool {
	return w.job.Deadline == 0 || float64(now-w.arrived) <= promptShare*float64(w.job.Deadline-w.arrived)
}
