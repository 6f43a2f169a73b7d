package fresh

import (
	"context"
	"errors"
	"sync"

	mn "mustardnotch"
)

// sweepInterval is how often open sessions are checked while the view does not
// change.
const sweepInterval = 100 * mn.Millisecond

// Guard checks the keys of callers and ends open sessions whose key has been
// withdrawn.
type Guard struct {
	views     mn.ViewSource
	freshness mn.FreshnessChecker
	clock     mn.Clock

	mu         sync.Mutex
	sessions   map[*Session]struct{}
	endedEarly int64
}

// Session is one open request or stream of a caller.
type Session struct {
	guard *Guard
	hash  mn.KeyHash
	// allowStale keeps the session open while the process is not current.
	allowStale bool
	cancel     context.CancelCauseFunc
}

// NewGuard returns a guard that has no open sessions.
func NewGuard(views mn.ViewSource, freshness mn.FreshnessChecker, clock mn.Clock) *Guard {
	return &Guard{
		views:     views,
		freshness: freshness,
		clock:     clock,
		sessions:  map[*Session]struct{}{},
	}
}

// CheckKey returns the key that has the given hash. It fails with
// [mn.NotCurrent], [mn.Unauthenticated] or [mn.KeyWithdrawn], each with outcome
// [mn.OutcomeNotRun].
func (g *Guard) CheckKey(hash mn.KeyHash) (mn.Key, error) {
	if err := g.freshness.CheckCurrent(); err != nil {
		return mn.Key{}, err
	}
	key, ok := g.views.View().Keys[hash]
	if !ok {
		return mn.Key{}, mn.Errorf(mn.Unauthenticated, "the key belongs to no customer")
	}
	if key.Withdrawn {
		return mn.Key{}, mn.Errorf(mn.KeyWithdrawn, "key %q was withdrawn", key.Name).WithOutcome(mn.OutcomeNotRun)
	}
	return key, nil
}

// OpenSession opens a session for a caller's key, or for an open route if hash
// is empty. The returned context ends, with an [mn.Error] as its cause, once
// the key is withdrawn or the process is no longer current. The caller must
// close the session.
func (g *Guard) OpenSession(ctx context.Context, hash mn.KeyHash) (context.Context, *Session) {
	return g.openSession(ctx, hash, false)
}

// OpenSessionAllowStale is like [Guard.OpenSession], but the session stays open
// while the process is not current. Agents use it: the entry in front of the
// caller ends the session in that case.
func (g *Guard) OpenSessionAllowStale(ctx context.Context, hash mn.KeyHash) (context.Context, *Session) {
	return g.openSession(ctx, hash, true)
}

func (g *Guard) openSession(ctx context.Context, hash mn.KeyHash, allowStale bool) (context.Context, *Session) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Session{guard: g, hash: hash, allowStale: allowStale, cancel: cancel}
	g.mu.Lock()
	g.sessions[s] = struct{}{}
	g.mu.Unlock()
	if err := g.sessionErr(s); err != nil {
		cancel(err)
	}
	return ctx, s
}

// Err returns why the session must end, or nil. Callers check it before they
// send each part of an answer, since the process may have been paused.
func (s *Session) Err() error { return s.guard.sessionErr(s) }

// Close ends the session.
func (s *Session) Close() {
	s.guard.mu.Lock()
	delete(s.guard.sessions, s)
	s.guard.mu.Unlock()
	s.cancel(context.Canceled)
}

// SessionError returns the reason for which the session of ctx was ended early,
// with the outcome of err. It returns err if the session was not ended early or
// err is nil.
func SessionError(ctx context.Context, err error) error {
	var cause *mn.Error
	if err != nil && errors.As(context.Cause(ctx), &cause) {
		return cause.WithOutcome(mn.AsError(err).Outcome)
	}
	return err
}

func (g *Guard) sessionErr(s *Session) error {
	return s.check(g.freshness.CheckCurrent(), g.views.View())
}

// check returns why s must end, or nil. notCurrent is the error of
// [mn.FreshnessChecker], nil if the process is current; v is the process's view.
func (s *Session) check(notCurrent error, v *mn.View) error {
	if notCurrent != nil && !s.allowStale {
		return mn.AsError(notCurrent).WithOutcome(mn.OutcomeUnknown)
	}
	if s.hash == "" {
		return nil
	}
	key, ok := v.Keys[s.hash]
	if !ok {
		return mn.Errorf(mn.KeyWithdrawn, "the key was deleted while a request was open")
	}
	if key.Withdrawn {
		return mn.Errorf(mn.KeyWithdrawn, "key %q was withdrawn while a request was open", key.Name)
	}
	return nil
}

// Sessions returns the number of open sessions and of sessions that were ended
// early.
func (g *Guard) Sessions() (open, endedEarly int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.sessions)), g.endedEarly
}

// Run ends sessions whose key has been withdrawn or deleted, until ctx is done.
// While the process is not current, it ends all sessions except those that allow
// it.
func (g *Guard) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := g.views.Changed()
		g.endInvalidSessions()
		wait, stop := context.WithCancel(ctx)
		go func() {
			defer stop()
			_ = g.clock.Sleep(wait, sweepInterval)
		}()
		select {
		case <-changed:
		case <-wait.Done():
		}
		stop()
	}
	return ctx.Err()
}

func (g *Guard) endInvalidSessions() {
	notCurrent, view := g.freshness.CheckCurrent(), g.views.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.sessions {
		if err := s.check(notCurrent, view); err != nil {
			s.cancel(err)
			delete(g.sessions, s)
			g.endedEarly++
		}
	}
}
