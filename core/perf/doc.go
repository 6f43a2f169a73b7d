// Package perf estimates how long the model engines of a pool take for a request.
//
// A [Model] starts from a wide prior and is fitted, while requests run, to the
// durations that fronts observe: of prefills, of the start of an output, and between
// two events of a stream. What it has observed is kept as sums, so that fronts
// can send it to each other and add it up. A Model does no I/O and reads no clock.
package perf
