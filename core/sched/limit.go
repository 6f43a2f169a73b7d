package sched

import mn "mustardnotch"

const (
	// minLimitShare is the lower bound of the limit on running jobs, as a share of
	// its maximum.
	minLimitShare = 0.125
	// limitDecreaseFactor is the factor by which one decrease lowers the limit.
	limitDecreaseFactor = 0.92
	// missGain is the weight of one job in the moving average of the miss rate.
	missGain = 1 / 8.0
	// missThreshold is the miss rate from which the limit is decreased. Below it,
	// the limit grows.
	missThreshold = 0.4
	// briefWaitShare is the share of the time to its deadline that a job may have
	// waited and is still expected to be in time.
	briefWaitShare = 0.5
)

// limit is the adaptive limit on the number of jobs at the endpoint. It decreases
// while many jobs that waited only briefly miss their deadline or are rejected
// because of it, since a smaller batch serves each job faster. While few do and
// jobs wait, it grows by about one for each full batch that ends. Jobs that waited
// long don't count, because they are no sign of a slow batch: a customer that
// floods the queue has many of them however others are served.
type limit struct {
	current      float64
	max          float64
	missRate     float64   // moving average over jobs that waited briefly
	lastDecrease mn.Millis // when the limit last decreased
}

func newLimit(running int) limit { return limit{current: float64(running), max: float64(running)} }

// jobs returns the limit as an integer of at least 1.
func (l *limit) jobs() int { return max(int(l.current), 1) }

// recordEnd updates the limit when a job that was at the endpoint since started
// ends. waiting is set if jobs are waiting.
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

// recordRejection updates the limit when w is rejected at its turn because of its
// deadline.
func (l *limit) recordRejection(w *waiter, now mn.Millis) {
	if w.waitedBriefly(now) {
		l.recordMiss(w.arrived, now)
	}
}

// recordMiss counts a missed deadline of a job that began at since. It decreases
// the limit if the miss rate is high, unless the limit already decreased after
// since: the job doesn't show the effect of that decrease yet.
func (l *limit) recordMiss(since, now mn.Millis) {
	l.missRate += (1 - l.missRate) * missGain
	if l.missRate < missThreshold || since < l.lastDecrease {
		return
	}
	l.current = max(l.current*limitDecreaseFactor, l.max*minLimitShare)
	l.lastDecrease = now
	limitDecreases.Add(1)
}

// waitedBriefly reports whether w, whose turn came at now, waited for at most
// briefWaitShare of the time to its deadline.
func (w *waiter) waitedBriefly(now mn.Millis) bool {
	return w.job.Deadline == 0 || float64(now-w.arrived) <= briefWaitShare*float64(w.job.Deadline-w.arrived)
}
