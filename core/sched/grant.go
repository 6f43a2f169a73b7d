package sched

import mn "mustardnotch"

// Grant is the right of one job to be at the endpoint. Its methods may be
// called from one goroutine at a time.
type Grant struct {
	queue          *Queue
	customer       *customerQueue
	waiter         *waiter
	job            Job
	charged        Cost
	throughput     float64
	pendingPrefill Tokens // prompt tokens not yet known to be prefilled
	startedAt      mn.Millis
	firstTokenAt   mn.Millis
	batch          int // jobs at the endpoint when this one started
	ended          bool
}

// start counts w as running.
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

// FirstToken tells that the endpoint returned the job's first token.
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

// Done tells that the job has left the endpoint, which prefilled prompt tokens
// and generated output tokens. Further calls have no effect.
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
		q.throughput = 0 // drops what rounding left
	}
	g.settleCost(prompt, output)
	q.removeIfIdle(g.customer)
	q.dispatch()
	q.closeIfIdle()
}

// settleCost returns what the job was charged beyond its true cost and learns
// from its output.
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
		return // its output may have been cut short
	}
	c.outputRatio = movingAverage(c.outputRatio, ratio)
	q.outputRatio = movingAverage(q.outputRatio, ratio)
}
