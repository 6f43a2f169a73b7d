// Package mustardnotch defines what the other packages of the module share:
// identifiers, units, the millisecond clock, result codes, log records, declared
// resources, and the interfaces to the parties the system communicates with.
//
// The packages below core implement the decisions, one package for each. The
// packages below io implement the connections to callers, operators, peers,
// endpoints and the platform. Packages below core never import packages below io.
package mustardnotch
