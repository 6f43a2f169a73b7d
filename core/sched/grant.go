package sched

import mn "mustardnotch"

// Grant is the permission of one job to be at the endpoint. Its methods may be
// called from only one goroutine at a time.
type Grant struct {
	queue          *Queue
	customer       *customerQueue
	waiter         *waiter
	job            Job
	charged        Cost
	throughput     float64
	pendingPrefill Tokens // prompt tokens counted as waiting for prefill
	startedAt      mn.Millis
	firstTokenAt   mn.Millis
	batch          int // jobs at the endpoint when this one started, itself included
	ended          bool
}

// start counts w as running and returns its grant.
func (q *Queue) start(c *customerQueue, w *waiter) *Grant {
	g := &Grant{queue: q, customer: c, waiter: w, job: w.job, charged: w.cost, pendingPrefill: w.job.PromptTokens, startedAt: q.clock.Now(), batch: q.running + 1}
	if service := q.estimateService(c, w.job); service > 0 {
		g.throughput = float64(w.cost) / service
	}
	started.Add(1)
	c.running++
	q.running++
	q.prefillTokens += g.pendingPrefill
	q.throughput += g.throughput
	return g
}

// FirstToken records that the endpoint returned the job's first token, so that
// its prefill has ended. Further calls have no effect.
func (g *Grant) FirstToken() {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if g.firstTokenAt != 0 || g.ended {
		return
	}
	g.firstTokenAt = q.clock.Now()
	q.prefillTokens -= g.pendingPrefill
	g.pendingPrefill = 0
	q.dispatch()
}

// Done records that the job has left the endpoint, which prefilled prompt tokens
// and generated output tokens for it. Further calls have no effect.
func (g *Grant) Done(prompt, output Tokens) {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	now := q.clock.Now()
	if g.firstTokenAt != 0 {
		batch := (g.batch + q.running) / 2
		q.latencies.measurePrefill(batch, prompt, g.firstTokenAt-g.startedAt)
		q.latencies.measureDecode(batch, output, now-g.firstTokenAt)
	}
	q.limit.recordEnd(g.waiter, g.startedAt, now, q.waiting > 0)
	q.prefillTokens -= g.pendingPrefill
	q.throughput -= g.throughput
	q.running--
	if q.running == 0 {
		q.throughput = 0 // removes accumulated rounding errors
	}
	g.settleCost(prompt, output)
	q.removeIfIdle(g.customer)
	q.dispatch()
	q.closeIfIdle()
}

// settleCost corrects the customer's deficit by the difference between the
// estimated and the actual cost of the job if the customer has jobs waiting, and
// updates the averages of the output ratio.
func (g *Grant) settleCost(prompt, output Tokens) {
	c, q := g.customer, g.queue
	c.running--
	if len(c.waiters) > 0 {
		c.deficit += g.charged - q.limits.cost(prompt, output)
	}
	if g.job.MaxOutputTokens <= 0 {
		return
	}
	late := g.job.Deadline != 0 && q.clock.Now() >= g.job.Deadline
	ratio := min(float64(output)/float64(g.job.MaxOutputTokens), 1)
	if late && ratio < c.outputRatio {
		return // The deadline may have truncated its output.
	}
	c.outputRatio = movingAverage(c.outputRatio, ratio)
	q.outputRatio = movingAverage(q.outputRatio, ratio)
}
