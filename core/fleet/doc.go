// Package fleet decides on the roles of a pool's engines and on the size of
// pools by data centre, and carries start and stop orders to the platform.
//
// [Orders] gives an order only while the process holds the control lease and
// only for as long as the lease surely lasts. [Roles] and [Sizer] hold the
// policy; [Forecast] smooths what they decide on.
package fleet

import (
	"expvar"

	mn "mustardnotch"
)

// counters holds orders given to the platform, by result, role changes, and
// endpoint-milliseconds paid.
var counters = expvar.NewMap("fleet")

// AddEndpointTime counts what endpoints cost over a span.
func AddEndpointTime(endpoints int, duration mn.Millis) {
	counters.Add("endpoint_ms", int64(endpoints)*int64(duration))
}
