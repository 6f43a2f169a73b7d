// Package order carries orders from the control holder to an engine so that
// an engine never receives conflicting orders, and so that orders of a process
// that lost the lease have no effect.
//
// The agent beside an engine has a [Gate], through which every order to the
// engine goes, one at a time. The gate gives out stamps of its own clock. The
// holder's [Issuer] returns a stamp with the order, along with a life that
// ends before the holder's lease. The gate refuses an order past its life, of
// an older term, out of sequence, or stamped by an earlier run of the agent.
package order

import mn "mustardnotch"

// Result codes of orders.
const (
	// WrongIncarnation refuses an order that another run of the agent has stamped.
	WrongIncarnation mn.Code = 511
	// NotDrained refuses an order while requests run at the endpoint.
	NotDrained mn.Code = 512
)

func init() {
	mn.RegisterCode(mn.CodeDoc{
		Code: WrongIncarnation, Title: "order for an earlier run of the agent", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "The agent has restarted since it gave out the order's stamp. The holder asks for a new stamp.",
	})
	mn.RegisterCode(mn.CodeDoc{
		Code: NotDrained, Title: "requests still running", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "An order that interrupts the endpoint waits until the requests that run there have ended.",
	})
}
