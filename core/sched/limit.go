package sched

import mn "mustardnotch"

const (
	// minLimitShare bounds how far the limit on running jobs falls.
	minLimitShare = 0.125
	// limitCutFactor is what a cut leaves of the limit.
	limitCutFactor = 0.92
	// missGain is the weight of one job in the moving average of missed ones.
	missGain = 1 / 8.0
	// Above missThreshold the limit is cut, below it grows.
	missThreshold = 0.4
	// briefWaitShare is the part of its time that a job may wait and still ought to
	// be in time.
	briefWaitShare = 0.5
)

// limit is the number of jobs that may be at the endpoint. It falls while many
// jobs end late, or are refused though they hardly waited, because a smaller
// batch serves each job faster. While few do and work waits, it grows by one
// for each full batch. Jobs that waited for long are no sign of a slow batch: a
// customer that floods the queue has many of them whatever becomes of others.
type limit struct {
	current  float64
	max      float64
	missRate float64   // moving average
	lastCut  mn.Millis // when it was last lowered
}

func newLimit(running int) limit { return limit{current: float64(running), max: float64(running)} }

// jobs returns the limit as a whole number.
func (l *limit) jobs() int { return max(int(l.current), 1) }

// recordEnd takes in the end of a job that was at the endpoint since started.
func (l *limit) recordEnd(w *waiter, started, now mn.Millis, waiting bool) {
	late := w.job.Deadline != 0 && now > w.job.Deadline
	switch {
	case late && w.waitedBriefly(started):
		l.recordMiss(started, now)
		return
	case late:
		return
	case w.waitedBriefly(started):
		l.missRate -= l.missRate * missGain
	}
	if l.missRate < missThreshold && waiting {
		l.current = min(l.current+1/l.current, l.max)
	}
}

// recordRejection takes in that w was refused when its turn had come.
func (l *limit) recordRejection(w *waiter, now mn.Millis) {
	if w.waitedBriefly(now) {
		l.recordMiss(w.arrived, now)
	}
}

// recordMiss counts a job that began at since and cuts the limit, unless it was
// cut after that.
func (l *limit) recordMiss(since, now mn.Millis) {
	l.missRate += (1 - l.missRate) * missGain
	if l.missRate < missThreshold || since < l.lastCut {
		return
	}
	l.current = max(l.current*limitCutFactor, l.max*minLimitShare)
	l.lastCut = now
	limitCuts.Add(1)
}

// waitedBriefly says whether w, whose turn came at now, had hardly waited.
func (w *waiter) waitedBriefly(now mn.Millis) bool {
	return w.job.Deadline == 0 || float64(now-w.arrived) <= briefWaitShare*float64(w.job.Deadline-w.arrived)
}
