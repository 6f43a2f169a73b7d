package mustardnotch

import "context"

// RecordWriter appends records to the control stream.
type RecordWriter interface {
	// Write appends r and returns its offset once r has been read back from the
	// log. If r turns out to be void when it is applied, Write returns the error
	// with which the state machine rejected it. After any other error r may or
	// may not be in the log, or may still appear there.
	Write(ctx context.Context, r *Record) (Offset, error)
}

// LeaseChecker reports whether this process holds the control lease.
type LeaseChecker interface {
	// Held reports whether the process holds the lease. If so, it returns the
	// term and the instant, on the process's own clock, at which the lease ends.
	Held() (term Term, until Millis, ok bool)
}

// EngineTarget is the state that an order asks of an engine.
type EngineTarget struct {
	Role    EngineRole
	Model   ModelID
	Version string
}

// Reached reports whether s matches t and no change is in progress.
func (t EngineTarget) Reached(s EngineState) bool {
	return !s.Changing && s.Role == t.Role && s.Model == t.Model && s.Version == t.Version
}

// Order is an order from the holder to the engine behind an agent.
type Order struct {
	Term     Term
	Sequence Sequence
	// Stamp is the instant on the agent's clock at which TTL starts.
	Stamp Millis
	// TTL is how long after Stamp the agent still accepts the order.
	TTL Millis
	// Incarnation is that of the agent that issued Stamp.
	Incarnation Incarnation
	Target      EngineTarget
	// PauseOnly makes the order only stop new requests at the endpoint, so that
	// running ones can finish before the engine changes.
	PauseOnly bool
}

// AgentState is an agent's answer to a holder's request for a stamp.
type AgentState struct {
	Stamp       Millis
	Incarnation Incarnation
	// Term is the highest term that the agent has seen.
	Term  Term
	State EngineState
	// Busy reports whether an order is in progress or the engine's state has not
	// settled yet.
	Busy bool
	// Paused reports whether the agent rejects new requests.
	Paused bool
	// Running is the number of requests at the endpoint.
	Running int64
}

// OrderReceiver is the interface through which the holder controls an agent.
type OrderReceiver interface {
	// Stamp announces term to the agent and returns the agent's state with a
	// reading of its clock.
	Stamp(ctx context.Context, term Term) (AgentState, error)
	// Order sends o to the engine. A nil error means that the engine accepted the
	// order; carrying it out may take a while.
	Order(ctx context.Context, o Order) error
}

// AdmissionControl controls which requests an agent passes on to its endpoint.
type AdmissionControl interface {
	// Pause rejects new requests from now on; requests already admitted continue.
	Pause()
	// Resume ends a pause.
	Resume()
	// Running returns the number of admitted requests that have not ended.
	Running() int64
}
