package place

import (
	"context"
	"slices"
	"sync"

	mn "mustardnotch"
)

const (
	// lateFinishMargin is kept between the expected last event of a late request and its
	// end.
	lateFinishMargin = 200 * mn.Millisecond
	// maxLateBacklog is the most reading, in milliseconds, that may be before a
	// late request: one long prompt, so that requests on time hardly wait.
	maxLateBacklog = 60.0
	// maxLargeBacklog is the same before a late request that takes largeDuration or more,
	// about the largest tenth of long prompts: they are hardly ever on time, and
	// would never be served.
	maxLargeBacklog = 400.0
	largeDuration   = 2000 * mn.Millisecond
	// largeOutputShare is the part of such a request's declared output for which there
	// must be time.
	largeOutputShare = 0.4
	// maxShortBacklog is the same before a late short prompt, which takes hardly
	// anything from others.
	maxShortBacklog = 900.0
	// pumpInterval is how often waiting requests are looked at: several times in
	// the time of a long prompt.
	pumpInterval = 8 * mn.Millisecond
	// maxPumpBatch bounds the waiting requests that are looked at in one go.
	maxPumpBatch = 24
	// maxWaitShare is the part of its time for which a request waits at most; a
	// caller that is refused then has time to come back. At 0.45, requests that had
	// waited for seconds took the places of others that could be on time.
	maxWaitShare = 0.1
	// minWaitLimit is how many milliseconds of waiting are always allowed.
	minWaitLimit = 60 * mn.Millisecond
	// grantRateWindow is the time over which grants to waiting requests are averaged.
	grantRateWindow = 1500 * mn.Millisecond
	// initialGrantRate is the grants a second that are assumed before any were seen.
	initialGrantRate = 8.0
	// minRetryAfter keeps callers from coming back before anything changed.
	minRetryAfter = 100 * mn.Millisecond
)

// Rejection says why a job was turned away.
type Rejection struct {
	Reason string
	// RetryAfter is when there may be room.
	RetryAfter mn.Millis
}

// Queues are the lines of all pools. Short and long prompts of a pool wait apart:
// a short one hardly takes anything from the long ones that would have to wait.
type Queues struct {
	balancer *Balancer
	clock    mn.Clock

	mu     sync.Mutex
	queues map[queueKey]*Queue
}

type queueKey struct {
	pool mn.PoolID
	long bool
}

// NewQueues returns lines before board.
func NewQueues(board *Balancer, clock mn.Clock) *Queues {
	return &Queues{balancer: board, clock: clock, queues: map[queueKey]*Queue{}}
}

// Place returns a reserved plan for j, now or after a wait, or a refusal. It
// returns neither if ctx ended.
func (l *Queues) Place(ctx context.Context, j *Job) (*Plan, *Rejection) {
	key := queueKey{j.Pool, j.Prompt != nil && j.Prompt.Tokens > maxShortPrompt}
	l.mu.Lock()
	line := l.queues[key]
	if line == nil {
		line = newQueue(l.balancer, l.clock)
		l.queues[key] = line
	}
	l.mu.Unlock()
	return line.place(ctx, j)
}

// Queue holds the jobs of one kind that wait for a place.
//
// Load pattern: for seconds at a time callers ask for more prompts than all
// engines read. What can be answered on time goes first; what can't waits for
// the lulls between bursts, the one first that has to start the soonest to end in
// time, so that long outputs, and callers that come back after a refusal, go before
// those that can still wait. A job that would wait longer than it can is refused
// when it arrives.
type Queue struct {
	balancer *Balancer
	clock    mn.Clock

	mu      sync.Mutex
	waiting []*waiter
	pumping bool
	// grants is the decayed number of grants in grantRateWindow.
	grants   float64
	grantsAt mn.Millis
}

type waiter struct {
	job     *Job
	until   mn.Millis
	granted chan *Plan
}

func newQueue(board *Balancer, clock mn.Clock) *Queue {
	return &Queue{balancer: board, clock: clock, grants: initialGrantRate * float64(grantRateWindow) / float64(mn.Second), grantsAt: clock.Now()}
}

func (l *Queue) place(ctx context.Context, j *Job) (*Plan, *Rejection) {
	now := l.clock.Now()
	l.mu.Lock()
	idle := len(l.waiting) == 0
	l.mu.Unlock()
	plan, choice := l.balancer.Choose(j, idle)
	switch choice {
	case Send, SendLate:
		return plan, nil
	case NoEndpoint:
		return nil, &Rejection{Reason: "no endpoint can be used", RetryAfter: l.retryAfter(j, now, 500*mn.Millisecond)}
	case Full:
	}
	if l.balancer.disabled(Queueing) {
		return nil, &Rejection{Reason: "no room now", RetryAfter: l.retryAfter(j, now, 0)}
	}
	w, refusal := l.enqueue(j, now)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case p := <-w.granted:
		if p != nil {
			return p, nil
		}
		return nil, &Rejection{Reason: "no room in time", RetryAfter: l.retryAfter(j, l.clock.Now(), l.expectedWait())}
	case <-ctx.Done():
		l.abandon(w)
		return nil, nil
	}
}

// enqueue adds j to the line, unless it would wait too long there.
func (l *Queue) enqueue(j *Job, now mn.Millis) (*waiter, *Rejection) {
	hold := mn.Millis(float64(j.Deadline-now) * maxWaitShare)
	expected := l.expectedWait()
	if expected > max(minWaitLimit, hold) {
		return nil, &Rejection{Reason: "the line is too long", RetryAfter: l.retryAfter(j, now, expected)}
	}
	w := &waiter{job: j, until: now + hold, granted: make(chan *Plan, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	at, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b *waiter) int { return int(a.job.latestStart() - b.job.latestStart()) })
	l.waiting = slices.Insert(l.waiting, at, w)
	if !l.pumping {
		l.pumping = true
		go l.pump()
	}
	return w, nil
}

// expectedWait returns how long a job that enters now would wait.
func (l *Queue) expectedWait() mn.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decayGrants(l.clock.Now())
	perMilli := max(0.5, l.grants) / float64(grantRateWindow)
	return mn.Millis(float64(len(l.waiting)) / perMilli)
}

// retryAfter returns when a caller should come back: after span, but early enough to
// be served then.
func (l *Queue) retryAfter(j *Job, now, span mn.Millis) mn.Millis {
	return max(minRetryAfter, min(span, (j.Deadline-now)/3))
}

func (l *Queue) decayGrants(now mn.Millis) {
	if gone := now - l.grantsAt; gone > 0 {
		l.grants -= l.grants * min(1, float64(gone)/float64(grantRateWindow))
		l.grantsAt = now
	}
}

func (l *Queue) abandon(w *waiter) {
	l.mu.Lock()
	at := slices.Index(l.waiting, w)
	if at >= 0 {
		l.waiting = slices.Delete(l.waiting, at, at+1)
	}
	l.mu.Unlock()
	if at >= 0 {
		return
	}
	if p := <-w.granted; p != nil {
		l.balancer.Release(p)
	}
}

// pump looks at the waiting jobs until there are none.
func (l *Queue) pump() {
	for {
		l.mu.Lock()
		l.grant()
		if len(l.waiting) == 0 {
			l.pumping = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		_ = l.clock.Sleep(context.Background(), pumpInterval) // A background context never ends.
	}
}

// grant gives places to waiting jobs and turns away those whose time is over.
func (l *Queue) grant() {
	now := l.clock.Now()
	l.decayGrants(now)
	tried := 0
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waiter) bool {
		if now >= w.until {
			w.granted <- nil
			return true
		}
		if tried >= maxPumpBatch {
			return false
		}
		tried++
		p, choice := l.balancer.Choose(w.job, true)
		if choice != Send && choice != SendLate {
			return false
		}
		l.grants++
		w.granted <- p
		return true
	})
}
