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
	started          = expvar.NewInt("queue_started")
	rejectedDeadline = expvar.NewInt("queue_refused_deadline")
	rejectedFull     = expvar.NewInt("queue_refused_full")
	limitCuts        = expvar.NewInt("queue_limit_cuts")
)

// estimateDiscount scales the estimates of waiting and service of a new job
// before they are held against its deadline, so that an estimate a little too
// high refuses nothing that would have been in time.
const estimateDiscount = 0.8

// Queue orders the jobs of one endpoint. It is safe for concurrent use.
type Queue struct {
	clock  mn.Clock
	limits Limits

	mu               sync.Mutex
	customers        map[mn.CustomerID]*customerQueue
	active           []*customerQueue // lines with waiting jobs, in round-robin order
	cursor           int
	rounds           Cost // rounds of quanta given out so far
	running          int
	waiting          int
	queuedTokens     Tokens
	prefillTokens    Tokens
	backlog          Cost
	throughput       float64 // cost per millisecond of the running jobs
	limit            limit
	latencies        latencies
	outputRatio      float64 // moving average of output generated to output allowed
	draining         bool
	idle             chan struct{} // closed when draining and nothing is left
	rejectedDeadline int64
	rejectedFull     int64
}

// customerQueue is one customer's FIFO.
type customerQueue struct {
	customer    mn.CustomerID
	weight      Cost
	deficit     Cost
	onCredit    bool // first job after being idle: goes ahead of its deficit
	idleSince   Cost // the queue's rounds when the line last left the round
	backlog     Cost
	waiters     []*waiter
	running     int     // jobs at the endpoint
	outputRatio float64 // as the queue's, of this customer
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
		clock:     clock,
		limits:    limits,
		limit:     newLimit(limits.Running),
		customers: make(map[mn.CustomerID]*customerQueue),
		idle:      make(chan struct{}),
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
		QueuedTokens:     q.queuedTokens,
		PrefillTokens:    q.prefillTokens,
		Backlog:          q.backlog,
		Throughput:       q.throughput,
		RejectedDeadline: q.rejectedDeadline,
		RejectedFull:     q.rejectedFull,
		Limit:            q.limit.jobs(),
		Latency:          q.latencies.at(q.running),
	}
}

func (q *Queue) enqueue(job Job) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.draining {
		return nil, mn.Errorf(mn.Draining, "the endpoint is leaving")
	}
	c := q.customerQueue(job)
	if err := q.admit(c, job); err != nil {
		q.removeIfIdle(c)
		return nil, err
	}
	w := &waiter{job: job, cost: q.limits.cost(job.PromptTokens, c.expectedOutput(job)), arrived: q.clock.Now(), decided: make(chan struct{})}
	if len(c.waiters) == 0 {
		q.activate(c, w.cost)
	}
	c.waiters = append(c.waiters, w)
	c.backlog += w.cost
	q.waiting++
	q.queuedTokens += job.PromptTokens
	q.backlog += w.cost
	q.dispatch()
	return w, nil
}

// activate takes l, whose first job costs that much, into the round. A line
// earns while it is idle, though no more than for one job. One that owes
// nothing goes first, on credit, so that a customer that sends little doesn't
// wait for one that sends much.
func (q *Queue) activate(c *customerQueue, cost Cost) {
	earned := (q.rounds - c.idleSince) * q.limits.Quantum * c.weight
	c.deficit = min(c.deficit+earned, cost)
	c.onCredit = c.deficit >= 0
	if !c.onCredit {
		q.active = append(q.active, c)
		return
	}
	at := min(q.cursor, len(q.active))
	for at < len(q.active) && q.active[at].onCredit {
		at++
	}
	q.active = append(q.active[:at:at], append([]*customerQueue{c}, q.active[at:]...)...)
}

// admit refuses a job that finds no room, or that can't be in time.
func (q *Queue) admit(c *customerQueue, job Job) error {
	full := q.waiting >= q.limits.Queued || len(c.waiters) >= q.limits.QueuedPerCustomer
	if full && q.atCapacity() {
		q.rejectedFull++
		rejectedFull.Add(1)
		return mn.Errorf(mn.Overloaded, "%d jobs of customer %q and %d in all are waiting", len(c.waiters), job.Customer, q.waiting).
			WithRetryAfter(q.estimateWait(c))
	}
	if job.Deadline == 0 {
		return nil
	}
	wait, service := q.estimateWait(c), mn.Millis(estimateDiscount*q.estimateService(c, job))
	left := job.Deadline - q.clock.Now()
	if wait+service <= left {
		return nil
	}
	if service > left {
		q.decayLatency()
	}
	return q.rejectLate(job, wait+service, left)
}

func (q *Queue) rejectLate(job Job, need, left mn.Millis) *mn.Error {
	q.rejectedDeadline++
	rejectedDeadline.Add(1)
	return mn.Errorf(mn.DeadlineTooShort, "customer %q: %d ms are left, at least %d ms are needed", job.Customer, left, need).
		WithRetryAfter(max(need-left, mn.Millisecond))
}

// decayLatency trusts the speeds at the present batch a little less, after they had a
// job refused.
func (q *Queue) decayLatency() { q.latencies.decay(min(q.running+1, q.limit.jobs())) }

// estimateService estimates the milliseconds that the endpoint takes over job if it
// starts now.
func (q *Queue) estimateService(c *customerQueue, job Job) float64 {
	return q.latencies.at(min(q.running+1, q.limit.jobs())).ServiceMillis(job.PromptTokens, c.expectedOutput(job))
}

// estimateWait is a low estimate of how long a new job of l waits: until its
// customer's own backlog is done at the customer's part of the pace, or until
// everything is done, whichever comes first.
func (q *Queue) estimateWait(c *customerQueue) mn.Millis {
	if !q.atCapacity() || q.throughput <= 0 {
		return 0
	}
	weights := c.weight
	for _, other := range q.active {
		if other != c {
			weights += other.weight
		}
	}
	ahead := min(q.backlog, c.backlog*weights/c.weight)
	return mn.Millis(estimateDiscount * float64(ahead) / q.throughput)
}

// atCapacity says whether the endpoint has no room for another job.
func (q *Queue) atCapacity() bool {
	return q.running >= q.limit.jobs() || q.limits.PrefillTokens > 0 && q.prefillTokens >= q.limits.PrefillTokens
}

// dispatch hands jobs to the endpoint while it has room.
func (q *Queue) dispatch() {
	for !q.atCapacity() {
		c := q.next()
		if c == nil {
			return
		}
		w := q.pop(c)
		if need, left := mn.Millis(q.estimateService(c, w.job)), w.job.Deadline-q.clock.Now(); w.job.Deadline != 0 && need > left {
			c.deficit += w.cost
			q.limit.recordRejection(w, q.clock.Now())
			q.decayLatency()
			w.err = q.rejectLate(w.job, need, left)
		} else {
			w.grant = q.start(c, w)
		}
		close(w.decided)
		q.deactivateIfEmpty(c)
	}
}

// next returns the line whose turn it is, or nil if none has work. The line
// at the cursor goes on while its deficit lasts.
func (q *Queue) next() *customerQueue {
	if len(q.active) == 0 {
		return nil
	}
	for {
		for range q.active {
			q.cursor %= len(q.active)
			c := q.active[q.cursor]
			if c.onCredit || c.deficit >= c.waiters[0].cost {
				return c
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
	for _, c := range q.active {
		short := c.waiters[0].cost - c.deficit
		rounds = min(rounds, math.Ceil(float64(short/(q.limits.Quantum*c.weight))))
	}
	rounds = max(rounds, 1)
	q.rounds += Cost(rounds)
	for _, c := range q.active {
		c.deficit += Cost(rounds) * q.limits.Quantum * c.weight
	}
}

func (q *Queue) pop(c *customerQueue) *waiter {
	w := c.waiters[0]
	c.waiters = c.waiters[1:]
	c.deficit -= w.cost
	c.onCredit = false
	q.removeWaiting(c, w)
	return w
}

func (q *Queue) removeWaiting(c *customerQueue, w *waiter) {
	c.backlog -= w.cost
	q.backlog -= w.cost
	q.waiting--
	q.queuedTokens -= w.job.PromptTokens
}

// deactivateIfEmpty takes l out of the round once it has no work. What it earned and
// didn't use is lost; what it owes stays while it has jobs running.
func (q *Queue) deactivateIfEmpty(c *customerQueue) {
	if len(c.waiters) > 0 {
		return
	}
	c.deficit = min(c.deficit, 0)
	c.onCredit = false
	c.idleSince = q.rounds
	for i, other := range q.active {
		if other != c {
			continue
		}
		q.active = append(q.active[:i], q.active[i+1:]...)
		if i < q.cursor {
			q.cursor--
		}
		break
	}
	q.removeIfIdle(c)
	q.closeIfIdle()
}

// removeIfIdle drops a line that has neither waiting nor running jobs.
func (q *Queue) removeIfIdle(c *customerQueue) {
	if len(c.waiters) == 0 && c.running == 0 {
		delete(q.customers, c.customer)
	}
}

func (q *Queue) customerQueue(job Job) *customerQueue {
	c, ok := q.customers[job.Customer]
	if !ok {
		c = &customerQueue{customer: job.Customer, outputRatio: q.outputRatio}
		q.customers[job.Customer] = c
	}
	c.weight = job.weight()
	return c
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
	c := q.customers[w.job.Customer]
	for i, other := range c.waiters {
		if other == w {
			c.waiters = append(c.waiters[:i:i], c.waiters[i+1:]...)
			q.removeWaiting(c, w)
			break
		}
	}
	q.deactivateIfEmpty(c)
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

// expectedOutput is the output that a job of the line will likely have.
func (c *customerQueue) expectedOutput(job Job) Tokens {
	return Tokens(float64(job.MaxOutputTokens) * c.outputRatio)
}
