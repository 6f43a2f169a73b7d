// Package conf folds the control stream of the platform's log into views of
// the declared configuration, the roster and the control lease, and reads and
// writes the resource files of operators.
//
// A fold is a function of the log alone: two folds of the same prefix agree,
// also where one of them started from a [mn.Snapshot]. Its offset only rises,
// so an accepted change never reverts. A change is all or nothing, and void
// where a resource has another version than the one it was based on.
package conf
