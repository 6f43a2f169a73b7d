// Package place decides where a request runs, whether it waits, and when it is
// rejected.
//
// A [Balancer] holds what a front knows of endpoints: the list, the front's own
// load there, the load that peer fronts reported, learned speeds, recent
// failures, and which shared prompt segments an engine has prefilled recently. A
// [Queue] holds the requests that wait. Neither does any I/O; both get the time
// from a clock.
package place
