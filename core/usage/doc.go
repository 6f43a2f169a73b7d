// Package usage turns the records of answered requests into reports that are
// the same whichever process computes them.
//
// Two processes record each whole answer before its caller sees the end
// marker: the agent that served it and the entry that answered it. Both append
// their records in batches to the usage stream, where records of one request
// collapse. A window is closed by a marker: the first marker in log order that
// carries the number of the open window. Markers number windows from 1 without
// gaps, so a marker of a former holder that lands late either closes the open
// window, with the same figures for everybody, or is void. The figures of a
// window are a function of the stream up to its marker alone.
//
// A record that lands after the marker of the window in which its request was
// first counted adds only what it has more; the difference is part of the
// window that is then open. Records collapse as long as the fold remembers the
// request, and a record that is older than the fold remembers is void, so a
// request is never billed twice (see [Fold]).
package usage
