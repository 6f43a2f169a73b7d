package front

import (
	"context"
	"net/http"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
	"mustardnotch/core/leave"
	"mustardnotch/core/paths"
	"mustardnotch/core/place"
	"mustardnotch/core/poison"
	"mustardnotch/core/reply"
	"mustardnotch/core/resume"
)

const (
	// defaultMaxBody bounds a request's body if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// defaultTimeout applies to a request if neither its caller nor its route sets a
	// timeout.
	defaultTimeout = 30 * mn.Second
	// returnMargin is subtracted from a deadline for the time that the answer takes
	// to reach the caller.
	returnMargin = 15 * mn.Millisecond
	// maxResends bounds how often a request is sent again after attempts in which the
	// endpoint did not run it and never will.
	maxResends = 2
	// minTimeLeft is the minimum time in which an endpoint can answer anything.
	minTimeLeft = 20 * mn.Millisecond
	// defaultRetryAfter is the Retry-After of errors without a better estimate. By
	// then, a front that lost the store may reach it again, or the caller may reach
	// another front.
	defaultRetryAfter = 300 * mn.Millisecond
)

// request is a caller's request while it is served.
type request struct {
	*Server
	w       http.ResponseWriter
	r       *http.Request
	arrived mn.Millis

	info     mn.RequestInfo
	route    *mn.Route
	customer mn.CustomerID
	// body is the body in pieces.
	body [][]byte
	// bodyRead reports whether nothing of the body is left on the connection.
	bodyRead bool
	// bodyMemory is what the body takes.
	bodyMemory *alloc.Lease
	job        place.Job
	// ownDeadline is the deadline of the request if the front does not leave.
	ownDeadline mn.Millis
	// cost is what the request takes from the customer's rate.
	cost float64
	// segments holds the ids of the prompt's segments that other prompts may share.
	segments []string
	// trial is set while the request tries suspected segments.
	trial *poison.Trial
	// crashChecked is closed once a crash that counts before the next send is known, nil if there
	// is none to wait for.
	crashChecked chan struct{}
	// cachedFingerprint is the result of fingerprint, or empty before its first call.
	cachedFingerprint string

	// viewAge and version are the age and the version of the catalog that was used.
	viewAge mn.Millis
	version int64
	// listAge is the age of the list of endpoints at the last send.
	listAge mn.Millis

	// mayHaveRun reports whether an endpoint may have started to run the request.
	mayHaveRun bool
	// counted reports whether the run was counted for usage.
	counted bool
	// headSent reports whether the head of an answer was sent to the caller.
	headSent bool
	attempts int
	// attemptTimer ends the present attempt in favour of another one, nil if it does not.
	attemptTimer *time.Timer
	plan         *place.Plan
	queueTime    mn.Millis
	// prefillTook is the time that a separate prefill endpoint took for the prompt.
	prefillTook  mn.Millis
	status       int
	firstEventAt mn.Millis
	// lastEventAt is when an event last arrived in this attempt.
	lastEventAt mn.Millis
	// longestPause is the longest time between two events.
	longestPause mn.Millis
	// position is how far the caller has got in a stream.
	position resume.Position
	// events is how many events of the stream the caller has got, and framing how the end of
	// the last answer is marked.
	events  int
	framing string
	// cutInside reports whether the stream was broken off inside an event that has not
	// arrived completely since.
	cutInside bool
	// fallback is an endpoint's own failure, which is forwarded if no other endpoint
	// answers better.
	fallback *failure
}

// serve answers the request, or returns the error that prevented it.
func (q *request) serve() *mn.Error {
	info, parseErr := q.Dialect.ParseRequest(q.r.Header)
	q.info = info
	if err := q.holdHead(); err != nil {
		return err
	}
	if err := q.checkCaller(); err != nil {
		return err
	}
	table, age := q.View.Table()
	if table == nil {
		return mn.Errorf(mn.NotCurrent, "no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	q.viewAge, q.version = age, table.Catalog.Version
	if err := q.resolve(table); err != nil {
		return err
	}
	if parseErr != nil {
		return mn.Errorf(mn.BadRequest, "%w", parseErr)
	}
	if err := q.admitTime(); err != nil {
		return err
	}
	q.bodyMemory = q.RequestMemory.Lease(string(q.customer))
	defer q.endBody()
	body, err := q.readBody(table.Catalog.Limits.MaxBodyBytes)
	if err != nil {
		return err
	}
	q.body = body
	if err := q.authenticateAgain(); err != nil {
		return err
	}
	if err := q.admitTime(); err != nil {
		return err
	}
	defer q.endTrial()
	defer q.dropFallback()
	if err := q.admit(); err != nil {
		return err
	}
	err = q.send()
	if err != nil && !q.mayHaveRun {
		q.Limiter.Refund(q.customer, q.cost)
	}
	return err
}

// resolve finds the request's route and customer.
func (q *request) resolve(table *paths.Table) *mn.Error {
	route, ok := table.Route(q.r.Host, q.r.URL.Path)
	if !ok {
		if q.viewAge > q.ApplyWithin {
			return mn.Errorf(mn.NotCurrent, "no route for host %q path %q in a configuration that is %d ms old", q.r.Host, q.r.URL.Path, q.viewAge).WithRetryAfter(defaultRetryAfter)
		}
		return mn.Errorf(NoRoute, "no route for host %q path %q", q.r.Host, q.r.URL.Path)
	}
	q.route = route
	if route.Resumable {
		q.position = resume.After(q.info.LastEvent)
	}
	if p := q.info.Prompt; p != nil && len(p.Segments) > 1 {
		for _, s := range p.Segments[:len(p.Segments)-1] {
			q.segments = append(q.segments, s.ID)
		}
	}
	q.cost = 1
	q.job = place.Job{Pool: paths.ChoosePool(route, q.info.ID), Prompt: q.info.Prompt, Urgency: route.Urgency}
	timeout := defaultTimeout
	if q.info.Timeout > 0 {
		timeout = q.info.Timeout - returnMargin
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	q.job.Deadline = q.arrived + timeout
	q.ownDeadline = q.job.Deadline
	q.job.FirstEventDeadline = q.job.Deadline
	if route.LatencyGoal > 0 {
		q.job.FirstEventDeadline = min(q.job.Deadline, q.arrived+route.LatencyGoal-returnMargin)
	}
	return q.authenticate(table)
}

// authenticate finds the customer whose key the request carries.
func (q *request) authenticate(table *paths.Table) *mn.Error {
	if q.route.Open || !table.RequiresKeys() {
		return nil
	}
	if !q.View.KeysFresh(q.viewAge) {
		return mn.Errorf(mn.NotCurrent, "keys of a configuration that is %d ms old may have been withdrawn", q.viewAge).WithRetryAfter(defaultRetryAfter)
	}
	customer, ok := table.CustomerByKey(q.info.Key)
	if !ok {
		if q.viewAge > q.ApplyWithin {
			return mn.Errorf(mn.NotCurrent, "no such key in a configuration that is %d ms old", q.viewAge).WithRetryAfter(defaultRetryAfter)
		}
		return mn.Errorf(mn.Unauthenticated, "the key belongs to no customer")
	}
	q.customer = customer.ID
	if customer.Urgency != nil {
		q.job.Urgency = *customer.Urgency
	}
	if customer.ByToken {
		q.cost = customer.PlainTokens
		if q.info.Prompt != nil {
			q.cost = q.info.Prompt.Cost()
		}
	}
	return nil
}

// endBody gives back the memory of the body. A connection to an endpoint may still be writing
// the body of an attempt that was given up.
func (q *request) endBody() {
	if q.attempts > 0 {
		q.bodyMemory.Abandon()
		return
	}
	q.bodyMemory.End()
}

// authenticateAgain checks the key of a request whose body has arrived. A body may be on its
// way for longer than a withdrawn key is accepted.
func (q *request) authenticateAgain() *mn.Error {
	if len(q.body) == 0 {
		return nil
	}
	table, age := q.View.Table()
	q.viewAge, q.version = age, table.Catalog.Version
	return q.authenticate(table)
}

// admitTime returns an error if the front leaves before the request is sure to be answered.
func (q *request) admitTime() *mn.Error {
	deadline, err := q.Departure.Admit(q.Clock.Now(), q.ownDeadline)
	if err != nil {
		return err
	}
	q.job.Deadline, q.job.FirstEventDeadline = deadline, min(deadline, q.job.FirstEventDeadline)
	return nil
}

// admit enforces the customer's rate, and rejects requests whose content has
// crashed endpoints or whose deadline is too close.
func (q *request) admit() *mn.Error {
	if e := q.admitContent(); e != nil {
		q.cost = 0
		return e
	}
	if q.job.Deadline-q.Clock.Now() < minTimeLeft {
		q.cost = 0
		return mn.Errorf(mn.DeadlineTooShort, "%d ms left before the deadline, at least %d ms needed", q.job.Deadline-q.Clock.Now(), minTimeLeft)
	}
	if wait, ok := q.Limiter.Take(q.customer, q.cost); !ok {
		cost := q.cost
		q.cost = 0
		return mn.Errorf(mn.RateExceeded, "customer %q exceeds its rate: a cost of %.0f is available after %d ms", q.customer, cost, wait).WithRetryAfter(wait)
	}
	return nil
}

// send places the request and sends it to endpoints until it is answered or must
// not be sent again.
func (q *request) send() *mn.Error {
	end := time.Now().Add((q.job.Deadline - q.Clock.Now()).Duration())
	ctx, cancel := context.WithDeadline(q.r.Context(), end)
	defer cancel()
	stop := context.AfterFunc(q.Departure.Ended(), cancel)
	defer stop()
	q.extendWrites(end.Add(time.Second))
	q.RetryBudgets.Deposit(q.job.Pool)
	for {
		if q.attempts > 0 && !q.RetryBudgets.Withdraw(q.job.Pool) {
			return q.finalError(mn.Errorf(mn.EndpointFailed, "%d attempts failed and the retry budget of pool %s is used up", q.attempts, q.job.Pool))
		}
		start := q.Clock.Now()
		plan, rejection := q.Queues.Place(ctx, &q.job)
		q.queueTime += q.Clock.Now() - start
		if rejection != nil {
			return q.rejected(rejection)
		}
		if plan == nil {
			return q.contextError(ctx)
		}
		q.plan = plan
		q.attempts++
		result := q.attempt(ctx, plan)
		q.Balancer.Release(plan)
		if result.err == nil {
			return nil
		}
		q.awaitCrashCheck()
		if ctx.Err() != nil {
			return q.contextError(ctx)
		}
		if !q.mayResend(result) {
			return q.finalError(result.err)
		}
		q.job.Avoid = append(q.job.Avoid, result.endpoint)
	}
}

// mayResend reports whether the request may be sent again after result.
func (q *request) mayResend(result result) bool {
	if result.final || q.job.Deadline-q.Clock.Now() < minTimeLeft {
		return false
	}
	if q.headSent && !q.position.Resumable() {
		return false
	}
	if result.notRun {
		return q.attempts <= maxResends
	}
	return q.route.Repeatable() && q.attempts < q.route.Attempts
}

// rejected returns the error for a rejection by the queue.
func (q *request) rejected(r *place.Rejection) *mn.Error {
	e := mn.Errorf(mn.Overloaded, "%s", r.Reason).WithRetryAfter(r.RetryAfter)
	return q.finalError(e)
}

// finalError returns the error that the caller gets. It is err if no endpoint ran
// the request and err says so. Otherwise its outcome is changed to what is known of
// all attempts. If an endpoint answered with a failure of its own, finalError sends
// that to the caller and returns nil.
func (q *request) finalError(err *mn.Error) *mn.Error {
	if q.fallback != nil && !q.headSent {
		q.fallback.sendTo(q)
		return nil
	}
	if !q.mayHaveRun {
		if err.Outcome == mn.OutcomeNotRun {
			return err
		}
		e := *err
		e.Code, e.Outcome = mn.NoEndpoint, mn.OutcomeNotRun
		if e.RetryAfter == 0 {
			e.RetryAfter = defaultRetryAfter
		}
		return &e
	}
	e := *err
	e.Outcome, e.RetryAfter = mn.OutcomeUnknown, 0
	if reply.Promises(statuses[e.Code]) {
		e.Code = mn.OutcomeNotKnown
	}
	return &e
}

// contextError returns the error for a request whose deadline has passed or whose
// caller left.
func (q *request) contextError(ctx context.Context) *mn.Error {
	if q.r.Context().Err() != nil {
		e := mn.Errorf(mn.Cancelled, "the caller's connection was closed")
		if !q.mayHaveRun {
			return e.WithOutcome(mn.OutcomeNotRun)
		}
		return e
	}
	ended := q.Departure.Ended().Err() != nil
	switch {
	case ended && q.mayHaveRun:
		return q.finalError(mn.Errorf(mn.OutcomeNotKnown, "no complete answer before the process ends"))
	case ended:
		return mn.Errorf(mn.Draining, "no endpoint of pool %s ran the request before the process ends", q.job.Pool).WithRetryAfter(leave.RetryAfter)
	case q.mayHaveRun:
		return q.finalError(mn.Errorf(mn.DeadlineExceeded, "no complete answer before the deadline: %w", ctx.Err()))
	}
	return mn.Errorf(mn.Overloaded, "no endpoint of pool %s ran the request before the deadline: %d attempts, %d ms in the queue", q.job.Pool, q.attempts, q.queueTime)
}
