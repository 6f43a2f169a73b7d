// Package fresh decides whether a process's view of the control stream is fresh
// enough to act on, without a coordination service.
//
// A process has evidence of freshness for an instant if its view includes every
// configuration change that was acknowledged before that instant. There are
// three kinds of evidence: the process read the head of the log and has applied
// all records up to it; a majority of the roster answered a probe and the
// process has applied all records up to the highest offset they reported; or a
// peer that is current reported its own evidence. The instant is always read
// from the process's own clock before the request is sent, so a late answer or
// a paused process can only make evidence older. A process is current while its
// evidence is younger than [Params.MaxStaleness].
//
// A change that removes something is acknowledged only once its offset is
// established: every majority of every roster that some process may still act
// on has a member that received the offset. A process that becomes current
// after that has applied the change, and a process that was current without it
// stops being current within [Params.MaxStaleness].
package fresh
