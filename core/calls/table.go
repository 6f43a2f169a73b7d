package calls

import (
	"sync"

	mn "mustardnotch"
)

// Config configures a [Table].
type Config struct {
	// VM and Incarnation identify the agent.
	VM          mn.VMID
	Incarnation mn.Incarnation
	// MaxSkew is the maximum difference allowed between two wall clocks.
	MaxSkew mn.Millis
	// RemovalDelay is the maximum time for which an agent that was removed from
	// the roster may still consider itself current.
	RemovalDelay mn.Millis
	// MaxKeyAge is the maximum age of an idempotency key. Each key is remembered
	// at least until it is older than that.
	MaxKeyAge mn.Millis
	// MaxIDAge is the maximum age of a request's id on arrival. A request without
	// a key is remembered at least until its id is older than that.
	MaxIDAge mn.Millis
	// MaxCalls is the maximum number of calls remembered; at that number new calls
	// are rejected.
	MaxCalls int
	// MaxBytes is the maximum size of all cached answers; above it the oldest are
	// dropped.
	MaxBytes int64
}

// DefaultConfig returns the default configuration for an agent on vm.
func DefaultConfig(vm mn.VMID, incarnation mn.Incarnation) Config {
	return Config{
		VM:           vm,
		Incarnation:  incarnation,
		MaxSkew:      500 * mn.Millisecond,
		RemovalDelay: 3 * mn.Second,
		MaxKeyAge:    10 * mn.Minute,
		MaxIDAge:     15 * mn.Second,
		MaxCalls:     200_000,
		MaxBytes:     32 << 20,
	}
}

// Table remembers the calls of one incarnation of an agent. It is safe for
// concurrent use.
type Table struct {
	config    Config
	clock     mn.Clock
	freshness mn.FreshnessChecker
	startedAt mn.Millis

	mu     sync.Mutex
	byID   map[mn.RequestID]*Call
	byKey  map[mn.IdempotencyKey]*Call
	barred map[mn.RequestID]bool
	// keysBarredUntil holds, for keys that were settled as not run, the creation
	// time up to which requests with the key are rejected.
	keysBarredUntil map[mn.IdempotencyKey]mn.Millis
	// rememberedIDs and rememberedKeys hold the expiry times of remembered
	// requests without and with a key, roughly in order.
	rememberedIDs  []expiryEntry
	rememberedKeys []expiryEntry
	// answered holds the calls with an answer, the oldest answer first. Its
	// answers have answerBytes in total.
	answered    []*Call
	answerBytes int64
	homes       homes
	draining    bool
	// lateOutcomes holds outcomes of calls that were transferred before they
	// finished.
	lateOutcomes      []LateOutcome
	lateOutcomesReady chan struct{}
}

// expiryEntry is the time after which the table may forget a request's id, and its
// key if it has one.
type expiryEntry struct {
	id    mn.RequestID
	key   mn.IdempotencyKey
	until mn.Millis
}

// New returns an empty table. It lets no call with an idempotency key run until
// UpdateRoster was called with a roster that includes this agent.
func New(config Config, clock mn.Clock, freshness mn.FreshnessChecker) *Table {
	return &Table{
		config:          config,
		clock:           clock,
		freshness:       freshness,
		startedAt:       clock.Wall(),
		byID:            map[mn.RequestID]*Call{},
		byKey:           map[mn.IdempotencyKey]*Call{},
		barred:          map[mn.RequestID]bool{},
		keysBarredUntil: map[mn.IdempotencyKey]mn.Millis{},
		homes:           newHomes(config),

		lateOutcomesReady: make(chan struct{}, 1),
	}
}

// Begin registers r. If owner is true, the caller of Begin must run the call and
// finish it. Otherwise an earlier request had the same id or key, and call is the
// call of that request.
func (t *Table) Begin(r Request) (call *Call, owner bool, err *mn.Error) {
	created, err := t.checkAge(r)
	if err != nil {
		return nil, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	if t.barred[r.ID] {
		return nil, false, t.weakenOutcome(r, mn.Errorf(mn.Barred, "request %s has been barred", r.ID))
	}
	if c := t.byID[r.ID]; c != nil {
		return c, false, nil
	}
	if err := t.checkIncarnation(r); err != nil {
		return nil, false, t.weakenOutcome(r, err)
	}
	if c := t.byKey[r.Key]; r.Key != "" && c != nil {
		return t.joinEarlierCall(c, r)
	}
	if err := t.checkAdmission(r); err != nil {
		return nil, false, t.weakenOutcome(r, err)
	}
	if err := t.checkGaps(r, created); err != nil {
		return nil, false, err
	}
	return t.register(r, created), true, nil
}

// checkAge rejects ids and keys whose creation time can't be read or is out of
// bounds. It returns the creation time of the key, or of the id if there is no key.
func (t *Table) checkAge(r Request) (mn.Millis, *mn.Error) {
	created, err := mn.IdempotencyKey(r.ID).Created()
	if err != nil {
		return 0, mn.Errorf(mn.BadRequest, "request id: %w", err)
	}
	now := t.clock.Wall()
	if created+t.config.MaxIDAge+t.config.MaxSkew < now {
		return 0, mn.Errorf(mn.Barred, "request %s was created %d ms ago, at most %d ms are remembered", r.ID, now-created, t.config.MaxIDAge).WithOutcome(mn.OutcomeUnknown)
	}
	if r.Key == "" {
		return created, nil
	}
	created, err = r.Key.Created()
	if err != nil {
		return 0, mn.Errorf(mn.BadIdempotencyKey, "%w", err)
	}
	if created > now+t.config.MaxSkew {
		return 0, mn.Errorf(mn.BadIdempotencyKey, "idempotency key was created %d ms in the future", created-now)
	}
	if created+t.config.MaxKeyAge < now {
		return 0, mn.Errorf(mn.KeyTooOld, "idempotency key was created %d ms ago, at most %d ms are remembered", now-created, t.config.MaxKeyAge)
	}
	return created, nil
}

// joinEarlierCall returns c, the call of an earlier request with the key of r, or
// the reason why r can't share its outcome.
func (t *Table) joinEarlierCall(c *Call, r Request) (*Call, bool, *mn.Error) {
	if c.request.Fingerprint != r.Fingerprint {
		return nil, false, mn.Errorf(mn.Duplicate, "idempotency key %s was used before with a different request", r.Key)
	}
	if c.phase == AtFormerHome {
		return nil, false, mn.Errorf(HomeChanging, "request %s with the same key may still run at the key's former home", c.request.ID).WithRetryAfter(homeRetryAfter)
	}
	if t.rememberedCount() >= 2*t.config.MaxCalls {
		return nil, false, mn.Errorf(mn.Overloaded, "agent %s remembers %d requests, limit %d", t.config.VM, t.rememberedCount(), 2*t.config.MaxCalls).
			WithOutcome(mn.OutcomeUnknown).WithRetryAfter(mn.Second)
	}
	// r.ID now refers to the same call, so that Settle finds it.
	t.byID[r.ID] = c
	t.remember(r.ID, "")
	return c, false, nil
}

// homeRetryAfter is the retry hint while the home of a key changes.
const homeRetryAfter = 100 * mn.Millisecond

// checkAdmission returns an error if r must not be registered as a new call: its
// key is barred, the agent is leaving, isn't the key's home, or is full.
func (t *Table) checkAdmission(r Request) *mn.Error {
	if created, _ := mn.IdempotencyKey(r.ID).Created(); r.Key != "" && created <= t.keysBarredUntil[r.Key] {
		return mn.Errorf(mn.Barred, "request %s was created before its key %s was barred", r.ID, r.Key).WithRetryAfter(t.config.MaxSkew)
	}
	if t.draining {
		return mn.Errorf(mn.Draining, "agent %s is leaving", t.config.VM).WithRetryAfter(homeRetryAfter)
	}
	if err := t.checkMayRun(r); err != nil {
		return err
	}
	if len(t.byID) >= t.config.MaxCalls {
		return mn.Errorf(mn.Overloaded, "agent %s remembers %d calls, limit %d", t.config.VM, len(t.byID), t.config.MaxCalls).WithRetryAfter(mn.Second)
	}
	return nil
}

// checkGaps returns an error if a call with the key of r may have run without this
// table's knowledge, or may still run elsewhere. The first request with a key was
// sent to no other agent before, so it may run as soon as no other agent may run
// calls with the key.
func (t *Table) checkGaps(r Request, created mn.Millis) *mn.Error {
	if r.Key == "" {
		return nil
	}
	if !r.FirstUse {
		return t.homes.checkGaps(r.Key, created)
	}
	if t.homes.checkGaps(r.Key, t.clock.Wall()) != nil {
		return mn.Errorf(HomeChanging, "a former home of key %s may still run calls", r.Key).WithOutcome(mn.OutcomeNotRun).WithRetryAfter(homeRetryAfter)
	}
	return nil
}

// weakenOutcome changes the outcome of a rejection to "unknown" if an earlier
// request with the same key may have run or may still arrive.
func (t *Table) weakenOutcome(r Request, err *mn.Error) *mn.Error {
	if r.Key == "" || r.FirstUse {
		return err
	}
	return err.WithOutcome(mn.OutcomeUnknown)
}

// checkMayRun returns an error if r has a key and this agent is not current or not
// the key's home.
func (t *Table) checkMayRun(r Request) *mn.Error {
	if r.Key == "" {
		return nil
	}
	if err := t.freshness.CheckCurrent(); err != nil {
		return mn.AsError(err)
	}
	return t.homes.checkHome(r.Key)
}

// register adds a call for r.
func (t *Table) register(r Request, created mn.Millis) *Call {
	c := &Call{table: t, request: r, keyCreated: created, finished: make(chan struct{})}
	t.byID[r.ID] = c
	if r.Key != "" {
		t.byKey[r.Key] = c
	}
	t.remember(r.ID, r.Key)
	return c
}

// rememberedCount returns the number of expiry entries.
func (t *Table) rememberedCount() int { return len(t.rememberedIDs) + len(t.rememberedKeys) }

// remember schedules id to expire once no request with it, or with key if that is
// not empty, can be accepted any more.
func (t *Table) remember(id mn.RequestID, key mn.IdempotencyKey) {
	e := expiryEntry{id: id, key: key, until: t.clock.Wall() + 2*t.config.MaxSkew}
	if key == "" {
		e.until += t.config.MaxIDAge
		t.rememberedIDs = append(t.rememberedIDs, e)
		return
	}
	e.until += t.config.MaxKeyAge
	t.rememberedKeys = append(t.rememberedKeys, e)
}

// removeExpired removes expired requests and gaps.
func (t *Table) removeExpired() {
	now := t.clock.Wall()
	t.rememberedIDs = t.removeExpiredFrom(t.rememberedIDs, now)
	t.rememberedKeys = t.removeExpiredFrom(t.rememberedKeys, now)
	t.homes.dropExpiredGaps(now)
}

// removeExpiredFrom removes expired entries from the front of queue, with their
// requests. Entries of calls that are registered or started move to the end.
func (t *Table) removeExpiredFrom(queue []expiryEntry, now mn.Millis) []expiryEntry {
	var running []expiryEntry
	for len(queue) > 0 && queue[0].until < now {
		e := queue[0]
		queue = queue[1:]
		if c := t.byID[e.id]; c != nil && (c.phase == Registered || c.phase == Started) {
			e.until = now + t.config.MaxIDAge
			running = append(running, e)
			continue
		}
		delete(t.barred, e.id)
		if e.key != "" {
			delete(t.keysBarredUntil, e.key)
		}
		if c := t.byID[e.id]; c != nil {
			t.removeCall(e.id, c)
		}
	}
	return append(queue, running...)
}

// removeCall removes id and, if c was registered with it, c and its answer.
func (t *Table) removeCall(id mn.RequestID, c *Call) {
	delete(t.byID, id)
	if c.request.ID != id {
		return
	}
	if t.byKey[c.request.Key] == c {
		delete(t.byKey, c.request.Key)
	}
	t.dropAnswer(c)
	for len(t.answered) > 0 && t.answered[0].answerDropped {
		t.answered = t.answered[1:]
	}
}

// dropAnswer drops the cached answer of c.
func (t *Table) dropAnswer(c *Call) {
	if c.phase != Done || c.answerDropped {
		return
	}
	t.answerBytes -= int64(len(c.answer))
	c.answer, c.answerDropped = nil, true
}

// finish sets the outcome of c, unless it has one.
func (t *Table) finish(c *Call, p Phase, answer []byte, err *mn.Error) {
	if c.phase != Registered && c.phase != Started && c.phase != AtFormerHome {
		return
	}
	c.phase, c.answer, c.err = p, answer, err
	if p == NotRun && t.byKey[c.request.Key] == c {
		// Another request with the key may run.
		delete(t.byKey, c.request.Key)
	}
	close(c.finished)
	t.cacheAnswer(c)
	t.queueLateOutcome(c)
}

// cacheAnswer caches the answer of c if it is done, and drops the oldest answers
// above MaxBytes.
func (t *Table) cacheAnswer(c *Call) {
	if c.phase != Done {
		return
	}
	t.answered = append(t.answered, c)
	t.answerBytes += int64(len(c.answer))
	for t.answerBytes > t.config.MaxBytes && len(t.answered) > 1 {
		t.dropAnswer(t.answered[0])
		t.answered = t.answered[1:]
	}
}

// Settle returns the status of request r. It bars a request that was never received
// or has not started, which is then in phase NotRun for good. A request that an
// earlier process may have run is in phase Unknown.
func (t *Table) Settle(r Request) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settle(r)
}

// SettleKey is like Settle for all requests with the key of r that were sent up to
// now: phase NotRun means that none of them has run or will.
func (t *Table) SettleKey(r Request) Status {
	created, err := t.checkAge(r)
	if err != nil {
		return Status{Phase: Unknown, Err: err.WithOutcome(mn.OutcomeUnknown)}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	status := t.settle(r)
	if r.Key == "" || status.Phase != NotRun {
		return status
	}
	if c := t.byKey[r.Key]; c != nil {
		if c.request.Fingerprint != r.Fingerprint {
			return Status{Phase: Unknown, Err: mn.Errorf(mn.Duplicate, "idempotency key %s was used before with a different request", r.Key)}
		}
		return c.status()
	}
	if err := t.barKey(r, created); err != nil {
		return Status{Phase: Unknown, Err: err.WithOutcome(mn.OutcomeUnknown)}
	}
	return status
}

// settle is Settle with the lock held.
func (t *Table) settle(r Request) Status {
	t.removeExpired()
	if c := t.byID[r.ID]; c != nil {
		if c.phase == Registered && c.request.ID == r.ID {
			t.finish(c, NotRun, nil, mn.Errorf(mn.Barred, "request %s was barred before it started", r.ID))
		}
		return c.status()
	}
	if _, err := t.checkAge(Request{ID: r.ID}); err != nil {
		return Status{Phase: Unknown, Err: err.WithOutcome(mn.OutcomeUnknown)}
	}
	if err := t.barID(r); err != nil {
		return Status{Phase: Unknown, Err: err.WithOutcome(mn.OutcomeUnknown)}
	}
	return Status{Phase: NotRun, Err: mn.Errorf(mn.Barred, "request %s was never received and is now barred", r.ID)}
}

// barKey bars the requests with the key of r that were created up to now. It fails
// if one of them may have run, or may still run, at another agent.
func (t *Table) barKey(r Request, created mn.Millis) *mn.Error {
	if err := t.checkMayRun(r); err != nil {
		return err
	}
	if err := t.checkGaps(r, created); err != nil {
		return err
	}
	t.keysBarredUntil[r.Key] = t.clock.Wall() + t.config.MaxSkew
	t.remember(r.ID, r.Key)
	return nil
}

// checkIncarnation returns an error if r may have been delivered to an earlier
// process.
func (t *Table) checkIncarnation(r Request) *mn.Error {
	if r.AgentIncarnation == t.config.Incarnation {
		return nil
	}
	if r.AgentIncarnation != "" {
		return mn.Errorf(OtherProcess, "request %s is meant for incarnation %s, this agent is incarnation %s", r.ID, r.AgentIncarnation, t.config.Incarnation)
	}
	created, err := mn.IdempotencyKey(r.ID).Created()
	if err != nil || created-t.config.MaxSkew <= t.startedAt {
		return mn.Errorf(OtherProcess, "request %s may have been created before the agent's incarnation %s started", r.ID, t.config.Incarnation)
	}
	return nil
}

// barID rejects the id of r from now on. It fails if an earlier process may have
// received the id.
func (t *Table) barID(r Request) *mn.Error {
	if t.barred[r.ID] {
		return nil
	}
	if err := t.checkIncarnation(r); err != nil {
		return err
	}
	if t.rememberedCount() >= 2*t.config.MaxCalls {
		return mn.Errorf(mn.OutcomeNotKnown, "agent %s can't bar request %s: it remembers %d requests, limit %d", t.config.VM, r.ID, t.rememberedCount(), 2*t.config.MaxCalls)
	}
	t.barred[r.ID] = true
	t.remember(r.ID, "")
	return nil
}

// Drain rejects every new call from now on.
func (t *Table) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Size returns how many request ids of calls the table remembers, and the size of
// the cached answers.
func (t *Table) Size() (remembered int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID), t.answerBytes
}
