// Package order sends orders from the control holder to engines. An engine never
// receives conflicting orders, and orders of a process that lost the lease have no
// effect.
//
// The agent next to an engine has a [Gate], through which all orders to the
// engine pass, one at a time. The gate issues stamps, which are times of its own
// clock. The holder's [Issuer] returns a stamp with each order, together with a
// TTL that ends no later than the holder's lease. The gate rejects an order
// that has expired, that is of an older term or out of sequence, or whose stamp is
// from an earlier run of the agent.
package order

import mn "mustardnotch"

// Result codes of orders.
const (
	// WrongIncarnation rejects an order with a stamp from another run of the agent.
	WrongIncarnation mn.Code = 511
	// NotDrained rejects an order while requests run at the endpoint.
	NotDrained mn.Code = 512
)

func init() {
	mn.RegisterCode(mn.CodeDoc{
		Code: WrongIncarnation, Title: "order for an earlier run of the agent", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "The agent has restarted since it issued the order's stamp. The holder requests a new stamp.",
	})
	mn.RegisterCode(mn.CodeDoc{
		Code: NotDrained, Title: "requests still running", Since: "0.1",
		Severity: mn.SeverityRetry, Outcome: mn.OutcomeNotRun,
		Text: "An order that interrupts the endpoint is rejected until the requests that run there have ended.",
	})
}
