// Package conf implements the state machine of the control stream in the
// platform's log, whose views hold the declared configuration, the roster and
// the control lease. It also reads and writes the resource files of operators.
//
// The state depends on the log alone: two state machines that have applied the
// same prefix agree, even if one of them started from a [mn.Snapshot]. The
// offset of a state machine only rises, so an accepted change never reverts. A
// change is applied completely or not at all, and is void if a resource has
// another version than the one the change was based on.
package conf
