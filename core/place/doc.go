// Package place decides where a request runs, whether it waits, and when it is
// turned away.
//
// A [Board] holds what a front knows of endpoints: the list, its own work
// there, the other fronts' work as they told it, learned speeds, recent
// failures, and which shared prompt parts an engine has read lately. A [Line]
// holds the requests that wait. Neither does any input or output; both are told
// the time by a clock.
package place
