// Package route chooses the agent for a request.
//
// A [Table] estimates for each agent when a request sent there would be
// answered: distance, wait in the agent's queue, prefill of what the engine
// does not hold in its prefix cache, and decode in a batch of the present
// size. Load reports lag, so an estimate starts from the last report, takes
// off the work done since, and adds the table's own requests since.
//
// Many tables share the same agents and see the same stale reports. If each
// took the best of all agents they would all take the same one, so a table
// compares only a random few, fewer the more tables there are, together with
// the agents that hold the longest prefix of the prompt.
package route
