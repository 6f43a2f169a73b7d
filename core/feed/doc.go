// Package feed brings the records of the control stream to a fold, from the
// platform's log, from peers that relay it, or from both at once, and appends
// records to it.
//
// Sources may overlap, repeat and lag: the fold takes each record once and in
// order. Where records have expired, a follower starts from a snapshot in the
// log, or from a peer's.
package feed
