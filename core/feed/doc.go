// Package feed delivers the records of the control stream to a state machine,
// from the platform's log, from peers that relay them, or from both at once,
// and appends records to the log.
//
// Sources may overlap, repeat records and lag: the state machine applies each
// record once and in order. If the records that a follower needs have expired,
// it starts from a snapshot in the log or from a peer's snapshot.
package feed
