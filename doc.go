// Package mustardnotch holds what every other package of the module shares:
// identifiers, units, the millisecond clock, result codes, log records,
// declared resources, and the interfaces to the parties the system talks to.
//
// Decisions live in packages below core, one package for each; connections to
// callers, operators, peers, endpoints and the platform live below io. Packages
// below core never import packages below io.
package mustardnotch
