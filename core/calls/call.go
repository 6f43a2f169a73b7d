package calls

import (
	"context"
	"crypto/sha256"

	mn "mustardnotch"
)

// Fingerprint distinguishes different calls with the same idempotency key.
type Fingerprint [sha256.Size]byte

// FingerprintOf hashes the properties that all calls with one key must share.
func FingerprintOf(customer mn.CustomerID, pool mn.PoolID, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{string(customer), string(pool), path} {
		sum := sha256.Sum256([]byte(s))
		h.Write(sum[:])
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// Request describes a request that the table registers or settles.
type Request struct {
	ID mn.RequestID
	// Key is empty for a request that its caller won't repeat.
	Key         mn.IdempotencyKey
	Fingerprint Fingerprint
	// AgentIncarnation is the incarnation of the agent that the request was sent
	// to, or empty if the sender doesn't know it. A sender sends each id once.
	AgentIncarnation mn.Incarnation
	// FirstUse reports whether the caller has sent no earlier request with Key, and
	// no agent has received one that could still run.
	FirstUse bool
}

// Phase is a stage in the life of a call.
type Phase int

// Phases of a call.
const (
	// Registered means that no part of the call has been sent to the endpoint.
	Registered Phase = iota
	// Started means that the endpoint may have received the call.
	Started
	// Done means that the call ran and its complete answer was received.
	Done
	// NotRun means that the call has not run and never will.
	NotRun
	// Unknown means that the call may have run but its answer is lost.
	Unknown
	// AtFormerHome means that the key's former home had registered or started the
	// call and has not transferred the outcome yet.
	AtFormerHome
)

// Call is one entry of the table. Its methods are safe for concurrent use.
type Call struct {
	table         *Table
	request       Request
	keyCreated    mn.Millis
	phase         Phase
	answer        []byte
	answerDropped bool
	err           *mn.Error
	finished      chan struct{}
	// newHome is the agent that the call was transferred to before it finished, or
	// empty.
	newHome mn.VMID
}

// ID returns the id of the request that the call was registered with.
func (c *Call) ID() mn.RequestID { return c.request.ID }

// Finished returns a channel that is closed once the call has an outcome.
func (c *Call) Finished() <-chan struct{} { return c.finished }

// Start marks the call as started. It must be called before the first byte
// goes to the endpoint. If it fails, nothing may be sent: the call has been
// barred, or this agent may no longer run calls with its key.
func (c *Call) Start() *mn.Error {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.phase != Registered {
		return c.err
	}
	if err := t.checkMayRun(c.request); err != nil {
		t.finish(c, NotRun, nil, err)
		return err
	}
	c.phase = Started
	return nil
}

// Finish records the call's outcome: Done with answer if err is nil, NotRun if that
// is the outcome of err, and Unknown otherwise. Only the first outcome of a call
// counts.
func (c *Call) Finish(answer []byte, err *mn.Error) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.finish(c, Done, answer, nil)
	case err.Outcome == mn.OutcomeNotRun:
		t.finish(c, NotRun, nil, err)
	default:
		t.finish(c, Unknown, nil, err)
	}
}

// Wait returns the call's answer once it is finished, or the error of ctx.
func (c *Call) Wait(ctx context.Context) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, mn.Errorf(mn.DeadlineExceeded, "wait for the answer of request %s: %w", c.request.ID, ctx.Err())
	case <-c.finished:
	}
	status := c.Status()
	if status.Err != nil {
		return nil, status.Err
	}
	return status.Answer, nil
}

// Status is what the table knows about a call.
type Status struct {
	Phase Phase
	// Answer is set in phase Done unless it was dropped.
	Answer []byte
	// Err is set in phases NotRun and Unknown, and in phase Done with code
	// AnswerDropped if the answer was dropped.
	Err *mn.Error
}

// Status returns the present status of the call.
func (c *Call) Status() Status {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.status()
}

func (c *Call) status() Status {
	if c.answerDropped {
		return Status{Phase: Done, Err: mn.Errorf(AnswerDropped, "answer of request %s was dropped to bound memory", c.request.ID)}
	}
	return Status{Phase: c.phase, Answer: c.answer, Err: c.err}
}
