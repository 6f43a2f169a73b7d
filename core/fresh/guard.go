package fresh

import (
	"context"
	"errors"
	"sync"

	mn "mustardnotch"
)

// sweepInterval is how often open sessions are checked where the view does not
// change.
const sweepInterval = 100 * mn.Millisecond

// Guard checks callers' keys, and ends the sessions of keys that are withdrawn
// while a session is open.
type Guard struct {
	views    mn.ViewSource
	currency mn.FreshnessChecker
	clock    mn.Clock

	mu         sync.Mutex
	sessions   map[*Session]struct{}
	endedEarly int64
}

// Session is one open request or stream of a caller.
type Session struct {
	guard *Guard
	hash  mn.KeyHash
	// allowStale says that the session outlives a loss of currency.
	allowStale bool
	cancel     context.CancelCauseFunc
}

// NewGuard returns a guard without sessions.
func NewGuard(views mn.ViewSource, currency mn.FreshnessChecker, clock mn.Clock) *Guard {
	return &Guard{
		views:    views,
		currency: currency,
		clock:    clock,
		sessions: map[*Session]struct{}{},
	}
}

// CheckKey returns the key of that hash. It fails with [mn.NotCurrent],
// [mn.Unauthenticated] or [mn.KeyWithdrawn], each with the outcome "not run".
func (g *Guard) CheckKey(hash mn.KeyHash) (mn.Key, error) {
	if err := g.currency.CheckCurrent(); err != nil {
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

// OpenSession opens a session for a caller's key, or for an open route if hash is
// empty. The returned context ends, with an [mn.Error] as its cause, once the
// key is withdrawn or the process is not current. The caller closes the session
// when it is over.
func (g *Guard) OpenSession(ctx context.Context, hash mn.KeyHash) (context.Context, *Session) {
	return g.openSession(ctx, hash, false)
}

// OpenSessionAllowStale is like Hold, but the session outlives a loss of currency. It is
// for agents: the entry in front of the caller ends the session then.
func (g *Guard) OpenSessionAllowStale(ctx context.Context, hash mn.KeyHash) (context.Context, *Session) {
	return g.openSession(ctx, hash, true)
}

func (g *Guard) openSession(ctx context.Context, hash mn.KeyHash, stale bool) (context.Context, *Session) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Session{guard: g, hash: hash, allowStale: stale, cancel: cancel}
	g.mu.Lock()
	g.sessions[s] = struct{}{}
	g.mu.Unlock()
	if err := g.sessionErr(s); err != nil {
		cancel(err)
	}
	return ctx, s
}

// Err returns why the session may not go on, or nil. It is checked before each
// part of an answer goes out, since the process may have been paused.
func (s *Session) Err() error { return s.guard.sessionErr(s) }

// Close ends the session.
func (s *Session) Close() {
	s.guard.mu.Lock()
	delete(s.guard.sessions, s)
	s.guard.mu.Unlock()
	s.cancel(context.Canceled)
}

// SessionError returns why the session of ctx was ended early, with the outcome of
// err, or err if it was not.
func SessionError(ctx context.Context, err error) error {
	var cause *mn.Error
	if err != nil && errors.As(context.Cause(ctx), &cause) {
		return cause.WithOutcome(mn.AsError(err).Outcome)
	}
	return err
}

// sessionErr returns why s may not go on, or nil.
func (g *Guard) sessionErr(s *Session) error {
	return s.errUnder(g.currency.CheckCurrent(), g.views.View())
}

func (s *Session) errUnder(current error, v *mn.View) error {
	if current != nil && !s.allowStale {
		return mn.AsError(current).WithOutcome(mn.OutcomeUnknown)
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

// Sessions returns how many sessions are open, and how many were ended early.
func (g *Guard) Sessions() (open, cut int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.sessions)), g.endedEarly
}

// Run ends sessions that may not go on, until ctx is done.
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
	current, view := g.currency.CheckCurrent(), g.views.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.sessions {
		if err := s.errUnder(current, view); err != nil {
			s.cancel(err)
			delete(g.sessions, s)
			g.endedEarly++
		}
	}
}
