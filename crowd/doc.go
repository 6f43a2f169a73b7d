// Package crowd tests fronts against callers that nobody controls: many at once, that send
// what the limits of a configuration allow, or more, and never come to an end.
//
// Its tests start fronts as processes. They check only what does not depend on the speed of
// the machine, and run apart from those of other packages.
package crowd
