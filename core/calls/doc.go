// Package calls remembers the requests that an agent has received, so that each
// request, and each idempotency key, runs at most once.
//
// A request is registered, marked as started before its first byte goes to the
// endpoint, and finished with its answer, which is cached. A request that was
// never received can be barred; it then stays true that the request has not run,
// however late the request itself arrives.
//
// Each idempotency key has a home among the agents of a pool, chosen by rendezvous
// hashing over the roster. Only the home runs calls with the key, and only while
// it is current, so at most one agent does so at any time. A new home can run a
// key if the former home has transferred its state, or if the key was created
// after the former home had certainly stopped. Any other key gets the outcome
// "unknown" and doesn't run.
package calls

import mn "mustardnotch"

// Result codes of calls with an idempotency key.
const (
	// AnswerDropped means that a call has run but its answer was dropped.
	AnswerDropped mn.Code = 321
	// NotHome means that another agent is the home of an idempotency key.
	NotHome mn.Code = 322
	// HomeChanging means that a key's former home has not transferred its state
	// yet.
	HomeChanging mn.Code = 323
	// OtherProcess means that a request was meant for another incarnation of the
	// agent.
	OtherProcess mn.Code = 324
	// OutcomeLost means that the process which received a call ended without
	// transferring its state.
	OutcomeLost mn.Code = 326
)

func init() {
	mn.RegisterCode(mn.CodeDoc{Code: AnswerDropped, Title: "answer no longer kept", Since: "0.1",
		Severity: mn.SeverityCaller, Outcome: mn.OutcomeRan,
		Text: "An earlier call with the same idempotency key ran, and its cached answer was dropped to bound memory. The call is not run again."})
	mn.RegisterCode(mn.CodeDoc{Code: NotHome, Title: "not the key's home", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "Another agent of the pool is the home of the idempotency key. Entries retry the request there."})
	mn.RegisterCode(mn.CodeDoc{Code: HomeChanging, Title: "home of the key has changed", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeUnknown,
		Text: "The idempotency key was created before this agent became its home, so an earlier call may have run at the former home, whose state has not arrived. The call is not run again. A retry returns the outcome if the former home has transferred its state by then."})
	mn.RegisterCode(mn.CodeDoc{Code: OtherProcess, Title: "meant for another agent process", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "The request was meant for an agent process that has been replaced, or is older than the agent's process. Entries retry it."})
	mn.RegisterCode(mn.CodeDoc{Code: OutcomeLost, Title: "outcome lost", Since: "0.1",
		Severity: mn.SeverityCaller, Outcome: mn.OutcomeUnknown,
		Text: "The agent process that may have run the call ended without transferring its state. It can no longer be determined whether the call ran. The call is not run again."})
}
