// Package load sends a seeded, bounded open-loop workload to entries and
// reports how it was served.
//
// A workload is described in an INI file, see [Parse]. Arrivals don't wait for
// answers. The same file and seed always give the same arrivals.
package load
