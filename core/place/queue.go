package place

import (
	"context"
	"fmt"
	"slices"
	"sync"

	mn "mustardnotch"
)

const (
	// lateFinishMargin is the time by which the expected last event of a late
	// request has to precede its deadline.
	lateFinishMargin = 200 * mn.Millisecond
	// lateBacklogShare is the longest prefill backlog behind which a late request is
	// sent, as a share of the time to the first event: short, so that requests on time
	// hardly wait.
	lateBacklogShare = 0.12
	// largeBacklogShare is the same for a late request that takes largeShare of its
	// time or more. These are hardly ever on time and would never be served otherwise.
	largeBacklogShare = 0.85
	largeShare        = 0.4
	// shortLateBacklogShare is the same for a late short prompt, which hardly delays
	// other requests.
	shortLateBacklogShare = 3.0
	// largeOutputShare is the share of a large request's declared output for which
	// there must be time.
	largeOutputShare = 0.4
	// maxShortBacklog is the longest backlog, in milliseconds, for a late short
	// prompt, which hardly delays other requests.
	maxShortBacklog = 900.0
	// pumpInterval is how often waiting requests are tried again: several times in
	// the time of a long prompt's prefill.
	pumpInterval = 8 * mn.Millisecond
	// maxPumpBatch bounds the waiting requests that are tried in one pass.
	maxPumpBatch = 24
	// maxWaitShare is the share of its remaining time for which a request waits at
	// most, so that a rejected caller has time to come back. Those
	// that wait for long take the place of others that could be on time.
	maxWaitShare = 0.1
	// minWaitLimit is the expected wait up to which a request is always queued.
	minWaitLimit = 60 * mn.Millisecond
	// grantRateWindow is the time over which grants to waiting requests are
	// averaged.
	grantRateWindow = 1500 * mn.Millisecond
	// initialGrantRate is the number of grants a second that a new queue assumes.
	initialGrantRate = 8.0
	// minRetryAfter keeps callers from coming back before anything has changed.
	minRetryAfter = 100 * mn.Millisecond
)

// Rejection is the reason why a job was not placed.
type Rejection struct {
	Reason string
	// RetryAfter is the time after which there may be room.
	RetryAfter mn.Millis
}

// Queues holds the queues of all pools. Short and long prompts of a pool wait in
// separate queues: a short one hardly delays the long ones that would have to wait.
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

// NewQueues returns queues that place jobs with balancer.
func NewQueues(balancer *Balancer, clock mn.Clock) *Queues {
	return &Queues{balancer: balancer, clock: clock, queues: map[queueKey]*Queue{}}
}

// Place returns a reserved plan for j, now or after a wait, or a rejection. It
// returns neither if ctx ended.
func (q *Queues) Place(ctx context.Context, j *Job) (*Plan, *Rejection) {
	key := queueKey{j.Pool, q.balancer.isLong(j)}
	q.mu.Lock()
	queue := q.queues[key]
	if queue == nil {
		queue = newQueue(q.balancer, q.clock)
		q.queues[key] = queue
	}
	q.mu.Unlock()
	return queue.place(ctx, j)
}

// Queue holds the jobs of one pool that wait for room: those with short prompts or
// those with long ones.
//
// Load pattern: for seconds at a time callers ask for more prompts than all engines
// can prefill. Jobs that can be on time go first. The others wait for the lulls
// between bursts, ordered by the latest start that lets them finish in time, so that
// long outputs, and callers that come back after a rejection, go ahead of jobs that
// can still wait. A job whose expected wait exceeds its limit is rejected on
// arrival.
type Queue struct {
	balancer *Balancer
	clock    mn.Clock

	mu sync.Mutex
	// waiting is sorted by the jobs' latest start.
	waiting []*waiter
	pumping bool
	// grants is the decayed number of grants in grantRateWindow.
	grants   float64
	grantsAt mn.Millis
}

type waiter struct {
	job         *Job
	latestStart mn.Millis
	// until is the end of the wait limit.
	until mn.Millis
	// granted receives the reserved plan, or nil once the wait limit has passed.
	granted chan *Plan
}

func newQueue(balancer *Balancer, clock mn.Clock) *Queue {
	return &Queue{balancer: balancer, clock: clock, grants: initialGrantRate * float64(grantRateWindow) / float64(mn.Second), grantsAt: clock.Now()}
}

func (q *Queue) place(ctx context.Context, j *Job) (*Plan, *Rejection) {
	now := q.clock.Now()
	q.mu.Lock()
	empty := len(q.waiting) == 0
	q.mu.Unlock()
	plan, choice := q.balancer.Choose(j, empty)
	switch choice {
	case Send, SendLate:
		return plan, nil
	case NoEndpoint:
		if wait, ok := q.balancer.untilUsable(j, now); ok {
			return nil, &Rejection{Reason: "all usable endpoints in the pool want no requests", RetryAfter: q.retryAfter(j, now, wait)}
		}
		return nil, &Rejection{Reason: "no usable endpoint in the pool", RetryAfter: q.retryAfter(j, now, 500*mn.Millisecond)}
	case Full:
	}
	if q.balancer.disabled(Queueing) {
		return nil, &Rejection{Reason: "no room at any endpoint", RetryAfter: q.retryAfter(j, now, 0)}
	}
	w, rejection := q.enqueue(j, now)
	if rejection != nil {
		return nil, rejection
	}
	select {
	case p := <-w.granted:
		if p != nil {
			return p, nil
		}
		return nil, &Rejection{Reason: fmt.Sprintf("no room at any endpoint within the wait limit of %d ms", w.until-now), RetryAfter: q.retryAfter(j, q.clock.Now(), q.expectedWait())}
	case <-ctx.Done():
		q.abandon(w)
		return nil, nil
	}
}

// enqueue adds j to the queue unless the expected wait is too long.
func (q *Queue) enqueue(j *Job, now mn.Millis) (*waiter, *Rejection) {
	maxWait := mn.Millis(float64(j.Deadline-now) * maxWaitShare)
	expected := q.expectedWait()
	if expected > max(minWaitLimit, maxWait) {
		return nil, &Rejection{Reason: fmt.Sprintf("queue is too long: the expected wait of %d ms exceeds the limit of %d ms", expected, max(minWaitLimit, maxWait)), RetryAfter: q.retryAfter(j, now, expected)}
	}
	w := &waiter{job: j, latestStart: q.balancer.latestStart(j), until: now + maxWait, granted: make(chan *Plan, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *waiter) int { return int(a.latestStart - b.latestStart) })
	q.waiting = slices.Insert(q.waiting, at, w)
	if !q.pumping {
		q.pumping = true
		go q.pump()
	}
	return w, nil
}

// expectedWait returns how long a job that is queued now would wait.
func (q *Queue) expectedWait() mn.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decayGrants(q.clock.Now())
	perMilli := max(0.5, q.grants) / float64(grantRateWindow)
	return mn.Millis(float64(len(q.waiting)) / perMilli)
}

// retryAfter returns when a caller should come back: after wait, but within a third
// of the remaining time, so that the job can still be served then.
func (q *Queue) retryAfter(j *Job, now, wait mn.Millis) mn.Millis {
	return max(minRetryAfter, min(wait, (j.Deadline-now)/3))
}

func (q *Queue) decayGrants(now mn.Millis) {
	if elapsed := now - q.grantsAt; elapsed > 0 {
		q.grants -= q.grants * min(1, float64(elapsed)/float64(grantRateWindow))
		q.grantsAt = now
	}
}

// abandon removes a waiter whose caller has gone, and releases its plan if it was
// granted one meanwhile.
func (q *Queue) abandon(w *waiter) {
	q.mu.Lock()
	at := slices.Index(q.waiting, w)
	if at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	q.mu.Unlock()
	if at >= 0 {
		return
	}
	if p := <-w.granted; p != nil {
		q.balancer.Release(p)
	}
}

// pump tries to place the waiting jobs until there are none.
func (q *Queue) pump() {
	for {
		q.mu.Lock()
		q.grant()
		if len(q.waiting) == 0 {
			q.pumping = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		_ = q.clock.Sleep(context.Background(), pumpInterval) // A background context never ends.
	}
}

// grant grants plans to waiting jobs and rejects those whose wait limit has passed.
func (q *Queue) grant() {
	now := q.clock.Now()
	q.decayGrants(now)
	attempts := 0
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
		if now >= w.until {
			w.granted <- nil
			return true
		}
		if attempts >= maxPumpBatch {
			return false
		}
		attempts++
		p, choice := q.balancer.Choose(w.job, true)
		if choice != Send && choice != SendLate {
			return false
		}
		q.grants++
		w.granted <- p
		return true
	})
}
