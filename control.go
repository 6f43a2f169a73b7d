package mustardnotch

import "context"

// RecordWriter appends records to the control stream.
type RecordWriter interface {
	// Write appends r and returns its offset once r was read back. The error
	// is the fold's verdict, with its code, if r is void. Any other error
	// leaves it unknown whether r is in the log, or will be.
	Write(ctx context.Context, r *Record) (Offset, error)
}

// LeaseChecker tells whether this process holds the control lease.
type LeaseChecker interface {
	// Held returns the term that the process holds and the instant of its own
	// clock at which the lease ends, and whether it holds one now.
	Held() (term Term, until Millis, ok bool)
}

// EngineTarget is what an order makes of an engine.
type EngineTarget struct {
	Role    EngineRole
	Model   ModelID
	Version string
}

// Reached says whether s is what t asks for, with no change going on.
func (t EngineTarget) Reached(s EngineState) bool {
	return !s.Changing && s.Role == t.Role && s.Model == t.Model && s.Version == t.Version
}

// Order is the holder's order to the engine behind an agent.
type Order struct {
	Term     Term
	Sequence Sequence
	// Stamp is the instant of the agent's clock from which Life counts.
	Stamp Millis
	TTL   Millis
	// Incarnation is that of the agent that gave the stamp out.
	Incarnation Incarnation
	Target      EngineTarget
	// PauseOnly only stops new work at the endpoint, so that what runs can end.
	PauseOnly bool
}

// AgentState is an agent's answer to a holder that asks for a stamp.
type AgentState struct {
	Stamp       Millis
	Incarnation Incarnation
	// Term is the highest term that the agent has seen.
	Term  Term
	State EngineState
	// Busy says that an order is in progress or the engine's state unsettled.
	Busy bool
	// Paused says that the agent takes no new work.
	Paused bool
	// Running counts the requests at the endpoint.
	Running int64
}

// OrderReceiver is an agent as the holder sees it.
type OrderReceiver interface {
	// Stamp makes term known to the agent and returns a stamp of its clock.
	Stamp(ctx context.Context, term Term) (AgentState, error)
	// Order has the engine do what o says. Without an error the engine has
	// accepted the order; it may need a while to carry it out.
	Order(ctx context.Context, o Order) error
}

// Admission lets requests in at an agent's endpoint.
type Admission interface {
	// Pause refuses new requests from now on; those admitted go on.
	Pause()
	// Resume ends a hold.
	Resume()
	// Running counts the requests admitted and not yet ended.
	Running() int64
}
