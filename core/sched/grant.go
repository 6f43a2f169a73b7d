package sched

import mn "mustardnotch"

// Grant is the right of one job to be at the endpoint. Its methods may be
// called from one goroutine at a time.
type Grant struct {
	queue   *Queue
	line    *line
	waiter  *waiter
	job     Job
	charged Cost
	pace    float64
	prompt  Tokens // prompt tokens not yet known to be prefilled
	started mn.Millis
	first   mn.Millis
	batch   int // jobs at the endpoint when this one started
	ended   bool
}

// start counts w as running.
func (q *Queue) start(l *line, w *waiter) *Grant {
	g := &Grant{queue: q, line: l, waiter: w, job: w.job, charged: w.cost, prompt: w.job.PromptTokens, started: q.clock.Now(), batch: q.running + 1}
	if service := q.service(l, w.job); service > 0 {
		g.pace = float64(w.cost) / service
	}
	started.Add(1)
	l.grants++
	q.running++
	q.prefill += g.prompt
	q.pace += g.pace
	return g
}

// FirstToken tells that the endpoint returned the job's first token.
func (g *Grant) FirstToken() {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if g.first != 0 || g.ended {
		return
	}
	g.first = q.clock.Now()
	q.prefill -= g.prompt
	g.prompt = 0
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
	if g.first != 0 {
		batch := (g.batch + q.running) / 2
		q.speeds.measurePrefill(batch, prompt, g.first-g.started)
		q.speeds.measureDecode(batch, output, now-g.first)
	}
	q.limit.ended(g.waiter, g.started, now, q.waiting > 0)
	q.prefill -= g.prompt
	q.pace -= g.pace
	q.running--
	if q.running == 0 {
		q.pace = 0 // drops what rounding left
	}
	g.settle(prompt, output)
	q.forget(g.line)
	q.dispatch()
	q.closeIfIdle()
}

// settle returns what the job was charged beyond its true cost and learns
// from its output.
func (g *Grant) settle(prompt, output Tokens) {
	l, q := g.line, g.queue
	l.grants--
	if len(l.waiters) > 0 {
		l.deficit += g.charged - q.limits.cost(prompt, output)
	}
	if g.job.MaxOutputTokens <= 0 {
		return
	}
	late := g.job.Deadline != 0 && q.clock.Now() >= g.job.Deadline
	ratio := min(float64(output)/float64(g.job.MaxOutputTokens), 1)
	if late && ratio < l.ratio {
		return // its output may have been cut short
	}
	l.ratio = average(l.ratio, ratio)
	q.ratio = average(q.ratio, ratio)
}
