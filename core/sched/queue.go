package sched

import (
	"context"
	"errors"
	"expvar"
	"math"
	"sync"

	mn "mustardnotch"
)

// Counters of the process.
var (
	started    = expvar.NewInt("queue_started")
	refused    = expvar.NewInt("queue_refused_deadline")
	overloaded = expvar.NewInt("queue_refused_full")
	cuts       = expvar.NewInt("queue_limit_cuts")
)

// refusalConfidence scales the estimates of waiting and service of a new job
// before they are held against its deadline, so that an estimate a little too
// high refuses nothing that would have been in time.
const refusalConfidence = 0.8

// Queue orders the jobs of one endpoint. It is safe for concurrent use.
type Queue struct {
	clock  mn.Clock
	limits Limits

	mu       sync.Mutex
	lines    map[mn.CustomerID]*line
	active   []*line // lines with waiting jobs, in round-robin order
	cursor   int
	rounds   Cost // rounds of quanta given out so far
	running  int
	waiting  int
	queued   Tokens
	prefill  Tokens
	backlog  Cost
	pace     float64 // cost per millisecond of the running jobs
	limit    limit
	speeds   speeds
	ratio    float64 // moving average of output generated to output allowed
	draining bool
	idle     chan struct{} // closed when draining and nothing is left
	refused  int64
	overflow int64
}

// line is one customer's FIFO.
type line struct {
	customer mn.CustomerID
	weight   Cost
	deficit  Cost
	fresh    bool // first job after being idle: goes ahead of its deficit
	left     Cost // the queue's rounds when the line last left the round
	backlog  Cost
	waiters  []*waiter
	grants   int     // jobs at the endpoint
	ratio    float64 // as the queue's, of this customer
}

// waiter is one job in a line.
type waiter struct {
	job     Job
	cost    Cost
	arrived mn.Millis
	decided chan struct{}
	grant   *Grant
	err     error
}

// New returns an empty queue.
func New(clock mn.Clock, limits Limits) *Queue {
	return &Queue{
		clock:  clock,
		limits: limits,
		limit:  newLimit(limits.Running),
		lines:  make(map[mn.CustomerID]*line),
		idle:   make(chan struct{}),
	}
}

// Acquire waits until job may go to the endpoint. Every error means that the
// job has not run: [mn.DeadlineTooShort] if it can't be in time,
// [mn.Overloaded] if a queue is full, [mn.Draining] after [Queue.Drain], and
// [mn.Cancelled] once ctx is done.
func (q *Queue) Acquire(ctx context.Context, job Job) (*Grant, error) {
	w, err := q.enqueue(job)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
		q.abandon(w, ctx.Err())
	}
	return w.grant, w.err
}

// Drain refuses new jobs and waits until those queued and running are done.
func (q *Queue) Drain(ctx context.Context) error {
	q.mu.Lock()
	q.draining = true
	q.closeIfIdle()
	q.mu.Unlock()
	select {
	case <-q.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats returns the queue's present state.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Running:          q.running,
		Waiting:          q.waiting,
		QueuedTokens:     q.queued,
		PrefillTokens:    q.prefill,
		Backlog:          q.backlog,
		Throughput:       q.pace,
		RejectedDeadline: q.refused,
		RejectedFull:     q.overflow,
		Limit:            q.limit.jobs(),
		Latency:          q.speeds.at(q.running),
	}
}

func (q *Queue) enqueue(job Job) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.draining {
		return nil, mn.Errorf(mn.Draining, "the endpoint is leaving")
	}
	l := q.line(job)
	if err := q.admit(l, job); err != nil {
		q.forget(l)
		return nil, err
	}
	w := &waiter{job: job, cost: q.limits.cost(job.PromptTokens, l.expected(job)), arrived: q.clock.Now(), decided: make(chan struct{})}
	if len(l.waiters) == 0 {
		q.activate(l, w.cost)
	}
	l.waiters = append(l.waiters, w)
	l.backlog += w.cost
	q.waiting++
	q.queued += job.PromptTokens
	q.backlog += w.cost
	q.dispatch()
	return w, nil
}

// activate takes l, whose first job costs that much, into the round. A line
// earns while it is idle, though no more than for one job. One that owes
// nothing goes first, on credit, so that a customer that sends little doesn't
// wait for one that sends much.
func (q *Queue) activate(l *line, cost Cost) {
	earned := (q.rounds - l.left) * q.limits.Quantum * l.weight
	l.deficit = min(l.deficit+earned, cost)
	l.fresh = l.deficit >= 0
	if !l.fresh {
		q.active = append(q.active, l)
		return
	}
	at := min(q.cursor, len(q.active))
	for at < len(q.active) && q.active[at].fresh {
		at++
	}
	q.active = append(q.active[:at:at], append([]*line{l}, q.active[at:]...)...)
}

// admit refuses a job that finds no room, or that can't be in time.
func (q *Queue) admit(l *line, job Job) error {
	full := q.waiting >= q.limits.Queued || len(l.waiters) >= q.limits.QueuedPerCustomer
	if full && q.busy() {
		q.overflow++
		overloaded.Add(1)
		return mn.Errorf(mn.Overloaded, "%d jobs of customer %q and %d in all are waiting", len(l.waiters), job.Customer, q.waiting).
			WithRetryAfter(q.wait(l))
	}
	if job.Deadline == 0 {
		return nil
	}
	wait, service := q.wait(l), mn.Millis(refusalConfidence*q.service(l, job))
	left := job.Deadline - q.clock.Now()
	if wait+service <= left {
		return nil
	}
	if service > left {
		q.doubt()
	}
	return q.refuse(job, wait+service, left)
}

func (q *Queue) refuse(job Job, need, left mn.Millis) *mn.Error {
	q.refused++
	refused.Add(1)
	return mn.Errorf(mn.DeadlineTooShort, "customer %q: %d ms are left, at least %d ms are needed", job.Customer, left, need).
		WithRetryAfter(max(need-left, mn.Millisecond))
}

// doubt trusts the speeds at the present batch a little less, after they had a
// job refused.
func (q *Queue) doubt() { q.speeds.doubt(min(q.running+1, q.limit.jobs())) }

// service estimates the milliseconds that the endpoint takes over job if it
// starts now.
func (q *Queue) service(l *line, job Job) float64 {
	return q.speeds.at(min(q.running+1, q.limit.jobs())).ServiceMillis(job.PromptTokens, l.expected(job))
}

// wait is a low estimate of how long a new job of l waits: until its
// customer's own backlog is done at the customer's part of the pace, or until
// everything is done, whichever comes first.
func (q *Queue) wait(l *line) mn.Millis {
	if !q.busy() || q.pace <= 0 {
		return 0
	}
	weights := l.weight
	for _, other := range q.active {
		if other != l {
			weights += other.weight
		}
	}
	ahead := min(q.backlog, l.backlog*weights/l.weight)
	return mn.Millis(refusalConfidence * float64(ahead) / q.pace)
}

// busy says whether the endpoint has no room for another job.
func (q *Queue) busy() bool {
	return q.running >= q.limit.jobs() || q.limits.PrefillTokens > 0 && q.prefill >= q.limits.PrefillTokens
}

// dispatch hands jobs to the endpoint while it has room.
func (q *Queue) dispatch() {
	for !q.busy() {
		l := q.next()
		if l == nil {
			return
		}
		w := q.pop(l)
		if need, left := mn.Millis(q.service(l, w.job)), w.job.Deadline-q.clock.Now(); w.job.Deadline != 0 && need > left {
			l.deficit += w.cost
			q.limit.refused(w, q.clock.Now())
			q.doubt()
			w.err = q.refuse(w.job, need, left)
		} else {
			w.grant = q.start(l, w)
		}
		close(w.decided)
		q.retire(l)
	}
}

// next returns the line whose turn it is, or nil if none has work. The line
// at the cursor goes on while its deficit lasts.
func (q *Queue) next() *line {
	if len(q.active) == 0 {
		return nil
	}
	for {
		for range q.active {
			q.cursor %= len(q.active)
			l := q.active[q.cursor]
			if l.fresh || l.deficit >= l.waiters[0].cost {
				return l
			}
			q.cursor++
		}
		q.addRounds()
	}
}

// addRounds gives every line the quanta of as many rounds as it takes until
// one of them can go.
func (q *Queue) addRounds() {
	rounds := math.Inf(1)
	for _, l := range q.active {
		short := l.waiters[0].cost - l.deficit
		rounds = min(rounds, math.Ceil(float64(short/(q.limits.Quantum*l.weight))))
	}
	rounds = max(rounds, 1)
	q.rounds += Cost(rounds)
	for _, l := range q.active {
		l.deficit += Cost(rounds) * q.limits.Quantum * l.weight
	}
}

func (q *Queue) pop(l *line) *waiter {
	w := l.waiters[0]
	l.waiters = l.waiters[1:]
	l.deficit -= w.cost
	l.fresh = false
	q.uncount(l, w)
	return w
}

func (q *Queue) uncount(l *line, w *waiter) {
	l.backlog -= w.cost
	q.backlog -= w.cost
	q.waiting--
	q.queued -= w.job.PromptTokens
}

// retire takes l out of the round once it has no work. What it earned and
// didn't use is lost; what it owes stays while it has jobs running.
func (q *Queue) retire(l *line) {
	if len(l.waiters) > 0 {
		return
	}
	l.deficit = min(l.deficit, 0)
	l.fresh = false
	l.left = q.rounds
	for i, other := range q.active {
		if other != l {
			continue
		}
		q.active = append(q.active[:i], q.active[i+1:]...)
		if i < q.cursor {
			q.cursor--
		}
		break
	}
	q.forget(l)
	q.closeIfIdle()
}

// forget drops a line that has neither waiting nor running jobs.
func (q *Queue) forget(l *line) {
	if len(l.waiters) == 0 && l.grants == 0 {
		delete(q.lines, l.customer)
	}
}

func (q *Queue) line(job Job) *line {
	l, ok := q.lines[job.Customer]
	if !ok {
		l = &line{customer: job.Customer, ratio: q.ratio}
		q.lines[job.Customer] = l
	}
	l.weight = job.weight()
	return l
}

// abandon takes a waiter whose caller has gone out of its line. A job that
// was granted in the meantime stays granted.
func (q *Queue) abandon(w *waiter, cause error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.decided:
		return
	default:
	}
	code := mn.Cancelled
	if errors.Is(cause, context.DeadlineExceeded) {
		code = mn.DeadlineTooShort
	}
	w.err = mn.Errorf(code, "while queued: %w", cause).WithOutcome(mn.OutcomeNotRun)
	close(w.decided)
	l := q.lines[w.job.Customer]
	for i, other := range l.waiters {
		if other == w {
			l.waiters = append(l.waiters[:i:i], l.waiters[i+1:]...)
			q.uncount(l, w)
			break
		}
	}
	q.retire(l)
}

func (q *Queue) closeIfIdle() {
	if !q.draining || q.running > 0 || q.waiting > 0 {
		return
	}
	select {
	case <-q.idle:
	default:
		close(q.idle)
	}
}

// expected is the output that a job of the line will likely have.
func (l *line) expected(job Job) Tokens {
	return Tokens(float64(job.MaxOutputTokens) * l.ratio)
}
