// Package load generates an open-loop load of bounded size on entries and reports
// how it was served.
//
// An INI file describes the workload, see [Parse]. Requests are sent at their
// arrival times, whether or not earlier requests have been answered. The same file
// and seed always give the same arrivals.
package load
