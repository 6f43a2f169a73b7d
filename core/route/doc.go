// Package route chooses the agent for a request.
//
// A [Table] estimates how long each agent would take to answer a request: the
// network delay, the wait in the agent's queue, the prefill of the part of the
// prompt that the engine's prefix cache lacks, and the decode in a batch of the
// current size. Load reports arrive with a delay, so an estimate starts from the
// last report, subtracts the work done since and adds the requests that the
// table has sent since.
//
// Many tables share the same agents and see the same stale reports. If each
// picked the best of all agents, they would all pick the same one. A table
// therefore compares a random sample, which is smaller the more entries there
// are, and the agents that likely cache a prefix of the prompt.
package route
