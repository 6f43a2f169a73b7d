// Package fresh tells whether a process may act on its view of the control
// stream, without a coordination service.
//
// A process has evidence as of an instant if at that instant it had folded
// all that a configuration change acknowledged before could have held. Three
// kinds of evidence count: the process read the log's head and folded up to
// it; a majority of the roster answered it and it folded up to the highest
// offset they knew; or a peer that is current told its own evidence. The
// instant is always read from the process's own clock before it asked, so a
// late answer or a pause can only make evidence older. A process is current
// while its evidence is younger than [Params.Life].
//
// A change that takes something away is acknowledged only once it is
// established: no majority of any roster that some process may still act on
// is without a member that was told its offset. From then on whoever becomes
// current has folded the change, and whoever was current before is so no
// longer after [Params.Life].
package fresh
