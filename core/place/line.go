package place

import (
	"context"
	"slices"
	"sync"

	mn "mustardnotch"
)

const (
	// lateMargin is kept between the expected last event of a late request and its
	// end.
	lateMargin = 200 * mn.Millisecond
	// lateBacklog is the most reading, in milliseconds, that may be before a
	// late request: one long prompt, so that requests on time hardly wait.
	lateBacklog = 60.0
	// largeBacklog is the same before a late request that takes largeSpan or more,
	// about the largest tenth of long prompts: they are hardly ever on time, and
	// would never be served.
	largeBacklog = 400.0
	largeSpan    = 2000 * mn.Millisecond
	// largeOutput is the part of such a request's declared output for which there
	// must be time.
	largeOutput = 0.4
	// shortBacklog is the same before a late short prompt, which takes hardly
	// anything from others.
	shortBacklog = 900.0
	// pumpEvery is how often waiting requests are looked at: several times in
	// the time of a long prompt.
	pumpEvery = 8 * mn.Millisecond
	// pumpMost bounds the waiting requests that are looked at in one go.
	pumpMost = 24
	// holdShare is the part of its time for which a request waits at most; a
	// caller that is refused then has time to come back. At 0.45, requests that had
	// waited for seconds took the places of others that could be on time.
	holdShare = 0.1
	// graceWait is how many milliseconds of waiting are always allowed.
	graceWait = 60 * mn.Millisecond
	// rateSpan is the time over which grants to waiting requests are averaged.
	rateSpan = 1500 * mn.Millisecond
	// startRate is the grants a second that are assumed before any were seen.
	startRate = 8.0
	// shortestRetry keeps callers from coming back before anything changed.
	shortestRetry = 100 * mn.Millisecond
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
	board *Balancer
	clock mn.Clock

	mu    sync.Mutex
	lines map[lineKey]*Queue
}

type lineKey struct {
	pool mn.PoolID
	long bool
}

// NewQueues returns lines before board.
func NewQueues(board *Balancer, clock mn.Clock) *Queues {
	return &Queues{board: board, clock: clock, lines: map[lineKey]*Queue{}}
}

// Place returns a reserved plan for j, now or after a wait, or a refusal. It
// returns neither if ctx ended.
func (l *Queues) Place(ctx context.Context, j *Job) (*Plan, *Rejection) {
	key := lineKey{j.Pool, j.Prompt != nil && j.Prompt.Tokens > shortPrompt}
	l.mu.Lock()
	line := l.lines[key]
	if line == nil {
		line = newLine(l.board, l.clock)
		l.lines[key] = line
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
	board *Balancer
	clock mn.Clock

	mu      sync.Mutex
	waiting []*waiter
	pumping bool
	// grants is the decayed number of grants in rateSpan.
	grants   float64
	grantsAt mn.Millis
}

type waiter struct {
	job     *Job
	until   mn.Millis
	granted chan *Plan
}

func newLine(board *Balancer, clock mn.Clock) *Queue {
	return &Queue{board: board, clock: clock, grants: startRate * float64(rateSpan) / float64(mn.Second), grantsAt: clock.Now()}
}

func (l *Queue) place(ctx context.Context, j *Job) (*Plan, *Rejection) {
	now := l.clock.Now()
	l.mu.Lock()
	idle := len(l.waiting) == 0
	l.mu.Unlock()
	plan, choice := l.board.Choose(j, idle)
	switch choice {
	case Send, SendLate:
		return plan, nil
	case NoEndpoint:
		return nil, &Rejection{Reason: "no endpoint can be used", RetryAfter: l.retry(j, now, 500*mn.Millisecond)}
	case Full:
	}
	if l.board.without(Queueing) {
		return nil, &Rejection{Reason: "no room now", RetryAfter: l.retry(j, now, 0)}
	}
	w, refusal := l.enter(j, now)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case p := <-w.granted:
		if p != nil {
			return p, nil
		}
		return nil, &Rejection{Reason: "no room in time", RetryAfter: l.retry(j, l.clock.Now(), l.expected())}
	case <-ctx.Done():
		l.abandon(w)
		return nil, nil
	}
}

// enter adds j to the line, unless it would wait too long there.
func (l *Queue) enter(j *Job, now mn.Millis) (*waiter, *Rejection) {
	hold := mn.Millis(float64(j.Deadline-now) * holdShare)
	expected := l.expected()
	if expected > max(graceWait, hold) {
		return nil, &Rejection{Reason: "the line is too long", RetryAfter: l.retry(j, now, expected)}
	}
	w := &waiter{job: j, until: now + hold, granted: make(chan *Plan, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	at, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b *waiter) int { return int(a.job.startBy() - b.job.startBy()) })
	l.waiting = slices.Insert(l.waiting, at, w)
	if !l.pumping {
		l.pumping = true
		go l.pump()
	}
	return w, nil
}

// expected returns how long a job that enters now would wait.
func (l *Queue) expected() mn.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(l.clock.Now())
	perMilli := max(0.5, l.grants) / float64(rateSpan)
	return mn.Millis(float64(len(l.waiting)) / perMilli)
}

// retry returns when a caller should come back: after span, but early enough to
// be served then.
func (l *Queue) retry(j *Job, now, span mn.Millis) mn.Millis {
	return max(shortestRetry, min(span, (j.Deadline-now)/3))
}

func (l *Queue) decay(now mn.Millis) {
	if gone := now - l.grantsAt; gone > 0 {
		l.grants -= l.grants * min(1, float64(gone)/float64(rateSpan))
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
		l.board.Release(p)
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
		_ = l.clock.Sleep(context.Background(), pumpEvery) // A background context never ends.
	}
}

// grant gives places to waiting jobs and turns away those whose time is over.
func (l *Queue) grant() {
	now := l.clock.Now()
	l.decay(now)
	tried := 0
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waiter) bool {
		if now >= w.until {
			w.granted <- nil
			return true
		}
		if tried >= pumpMost {
			return false
		}
		tried++
		p, choice := l.board.Choose(w.job, true)
		if choice != Send && choice != SendLate {
			return false
		}
		l.grants++
		w.granted <- p
		return true
	})
}
