// Package usage turns the records of answered requests into usage reports that are
// the same whichever process computes them.
//
// Two processes record each complete answer before its caller receives the end
// marker: the agent that served it and the entry that answered it. Both append their
// records in batches to the usage stream, where the records of one request are
// counted once. Markers divide the stream into windows, which are numbered from 1
// without gaps. The open window is closed by the first marker in log order that
// carries its number, so a late marker of a former lease holder either closes the
// open window, with the same figures for every process, or has no effect. The
// figures of a window depend only on the stream up to its marker.
//
// If a record lands after the marker of the window in which its request was first
// counted, the open window gets the difference between the two records. Records of
// one request are merged while the aggregator remembers the request. A record that
// is too old for that has no effect, so no request is billed twice (see
// [Aggregator]).
package usage
