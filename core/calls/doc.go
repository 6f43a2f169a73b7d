// Package calls is an agent's memory of the requests that it was given: it
// makes each of them, and each idempotency key, run at most once.
//
// A request is registered, started before its first byte goes to the endpoint,
// and finished with its answer, which is kept. A request that was never seen
// can be barred, after which the statement that it has not run stays true
// however late the request itself arrives.
//
// Idempotency keys have a home among the agents of a pool, chosen by rendezvous
// hashing over the roster. Only the home runs calls with the key, and only
// while it is current, so at most one agent does so at any time. A new home
// knows of a key either because the old home handed its memory over, or
// because the key was made after the old home had stopped for certain; an older
// key that it knows nothing of gets the outcome "unknown" and does not run.
package calls

import mn "mustardnotch"

// Result codes of calls with an idempotency key.
const (
	// AnswerNotKept means that a call is done but its answer was dropped.
	AnswerNotKept mn.Code = 321
	// NotHome means that another agent is the home of an idempotency key.
	NotHome mn.Code = 322
	// HomeChanging means that the memory of a key's former home has not
	// arrived yet.
	HomeChanging mn.Code = 323
	// OtherProcess means that a request was meant for a process that the agent
	// has replaced.
	OtherProcess mn.Code = 324
	// OutcomeLost means that the process that was given a call, and its memory
	// with it, are gone.
	OutcomeLost mn.Code = 326
)

func init() {
	mn.RegisterCode(mn.CodeDoc{Code: AnswerNotKept, Title: "answer no longer kept", Since: "0.1",
		Severity: mn.SeverityCaller, Outcome: mn.OutcomeRan,
		Text: "An earlier call with the same idempotency key ran and its answer was dropped to bound memory. It is not run again."})
	mn.RegisterCode(mn.CodeDoc{Code: NotHome, Title: "not the key's home", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "Another agent of the pool keeps the memory of the idempotency key. Entries try again there."})
	mn.RegisterCode(mn.CodeDoc{Code: HomeChanging, Title: "home of the key has changed", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeUnknown,
		Text: "The idempotency key is older than this agent's knowledge of it, so an earlier call may have run at its former home. It is not run again; a retry finds the outcome if the former home hands its memory over."})
	mn.RegisterCode(mn.CodeDoc{Code: OtherProcess, Title: "meant for another agent process", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "The request was meant for an agent process that has been replaced, or is older than the agent's process. Entries try again."})
	mn.RegisterCode(mn.CodeDoc{Code: OutcomeLost, Title: "outcome lost", Since: "0.1",
		Severity: mn.SeverityCaller, Outcome: mn.OutcomeUnknown,
		Text: "The agent process that may have run the call ended without handing its memory over. Whether the call ran can't be told any more; it is not run again."})
}
