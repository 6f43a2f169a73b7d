package sched

import (
	"context"
	"errors"
	"expvar"
	"math"
	"sync"

	mn "mustardnotch"
)

// Counters of the process, exported through expvar.
var (
	started          = expvar.NewInt("queue_started")
	rejectedDeadline = expvar.NewInt("queue_refused_deadline")
	rejectedFull     = expvar.NewInt("queue_refused_full")
	limitDecreases   = expvar.NewInt("queue_limit_cuts")
)

// estimateDiscount scales the estimated waiting and service times of a new job
// before they are compared with its deadline, so that a slightly high estimate
// doesn't reject a job that would have been in time.
const estimateDiscount = 0.8

// Queue schedules the jobs of one endpoint. It is safe for concurrent use.
type Queue struct {
	clock  mn.Clock
	limits Limits

	mu               sync.Mutex
	customers        map[mn.CustomerID]*customerQueue
	active           []*customerQueue // queues with waiting jobs, in round-robin order
	cursor           int              // index in active of the queue being served
	rounds           Cost             // rounds of quanta granted so far
	running          int
	waiting          int
	queuedTokens     Tokens
	prefillTokens    Tokens
	backlog          Cost
	throughput       float64 // estimated cost per millisecond of the running jobs
	limit            limit
	latencies        latencies
	outputRatio      float64 // moving average of generated to allowed output
	draining         bool
	idle             chan struct{} // closed when draining and no jobs are left
	rejectedDeadline int64
	rejectedFull     int64
}

// customerQueue is the FIFO queue of one customer.
type customerQueue struct {
	customer    mn.CustomerID
	weight      Cost
	deficit     Cost
	onCredit    bool // the next job, the first after idleness, may exceed the deficit
	idleSince   Cost // Queue.rounds when the last waiting job left
	backlog     Cost
	waiters     []*waiter
	running     int     // jobs at the endpoint
	outputRatio float64 // like Queue.outputRatio, for this customer
}

// waiter is a job in a customer's queue.
type waiter struct {
	job     Job
	cost    Cost
	arrived mn.Millis
	decided chan struct{} // closed when grant or err is set
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
// job has not run. The code is [mn.DeadlineTooShort] if the job can't be in time
// or ctx's deadline has passed, [mn.Overloaded] if a queue is full, [mn.Draining]
// after [Queue.Drain], and [mn.Cancelled] if ctx was cancelled.
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

// Drain rejects new jobs and waits until all waiting and running jobs are done.
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

// Stats returns the queue's current state.
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
		return nil, mn.Errorf(mn.Draining, "the endpoint is draining and accepts no new jobs")
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

// activate adds c, whose first job has that cost, to the round. A queue earns
// quanta while it is idle, but no more than one job costs. If its deficit isn't
// negative, it is served on credit, ahead of all queues that aren't, so that a
// customer that sends little doesn't wait for one that sends much.
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

// admit returns an error if job has to be rejected because a queue is full or
// because it can't be done before its deadline.
func (q *Queue) admit(c *customerQueue, job Job) error {
	full := q.waiting >= q.limits.Queued || len(c.waiters) >= q.limits.QueuedPerCustomer
	if full && q.atCapacity() {
		q.rejectedFull++
		rejectedFull.Add(1)
		return mn.Errorf(mn.Overloaded, "queue full: %d jobs of customer %q and %d of all customers are waiting", len(c.waiters), job.Customer, q.waiting).
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

// rejectLate counts job as rejected because of its deadline and returns the error.
func (q *Queue) rejectLate(job Job, need, left mn.Millis) *mn.Error {
	q.rejectedDeadline++
	rejectedDeadline.Add(1)
	return mn.Errorf(mn.DeadlineTooShort, "customer %q: %d ms left before the deadline, at least %d ms needed", job.Customer, left, need).
		WithRetryAfter(max(need-left, mn.Millisecond))
}

// decayLatency lowers the measured latencies at the current batch size a little
// after a job was rejected because of them.
func (q *Queue) decayLatency() { q.latencies.decay(min(q.running+1, q.limit.jobs())) }

// estimateService estimates the milliseconds that the endpoint takes for job if
// it starts now.
func (q *Queue) estimateService(c *customerQueue, job Job) float64 {
	return q.latencies.at(min(q.running+1, q.limit.jobs())).ServiceMillis(job.PromptTokens, c.expectedOutput(job))
}

// estimateWait returns a low estimate of how long a new job of c waits: until the
// customer's backlog is done at the customer's share of the throughput, or until
// the backlog of all customers is done, whichever is earlier.
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

// atCapacity reports whether no further job may start at the endpoint.
func (q *Queue) atCapacity() bool {
	return q.running >= q.limit.jobs() || q.limits.PrefillTokens > 0 && q.prefillTokens >= q.limits.PrefillTokens
}

// dispatch starts waiting jobs while the endpoint has capacity. A job that can no
// longer meet its deadline is rejected and its cost returned to its customer.
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

// next returns the queue to serve, or nil if no jobs wait. The queue at the cursor
// is served while it is on credit or its deficit covers the cost of its next job.
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

// addRounds grants every active queue the quanta of as many rounds as it takes
// until one of them can be served.
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

// deactivateIfEmpty removes c from the round if it has no waiting jobs. A positive
// deficit is lost; a negative one remains while the customer has running jobs.
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

// removeIfIdle removes a queue that has neither waiting nor running jobs.
func (q *Queue) removeIfIdle(c *customerQueue) {
	if len(c.waiters) == 0 && c.running == 0 {
		delete(q.customers, c.customer)
	}
}

// customerQueue returns the queue of the job's customer, which it creates if
// needed, and updates its weight.
func (q *Queue) customerQueue(job Job) *customerQueue {
	c, ok := q.customers[job.Customer]
	if !ok {
		c = &customerQueue{customer: job.Customer, outputRatio: q.outputRatio}
		q.customers[job.Customer] = c
	}
	c.weight = job.weight()
	return c
}

// abandon removes a waiter whose context is done, with the given cause, from its
// queue. If the waiter was granted or rejected in the meantime, that stands.
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
	w.err = mn.Errorf(code, "customer %q: job abandoned after %d ms in the queue: %w", w.job.Customer, q.clock.Now()-w.arrived, cause).WithOutcome(mn.OutcomeNotRun)
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

// closeIfIdle closes idle if the queue is draining and no jobs are left.
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

// expectedOutput returns the number of tokens that job is expected to generate,
// from the customer's average ratio of generated to allowed output.
func (c *customerQueue) expectedOutput(job Job) Tokens {
	return Tokens(float64(job.MaxOutputTokens) * c.outputRatio)
}
