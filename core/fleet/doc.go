// Package fleet decides on the roles of a pool's engines and on the size of a pool
// in each data centre, and sends start and stop orders to the platform.
//
// [Scaler] sends an order only if the process holds the control lease and the call
// ends before the lease does. [RolePolicy] and [Sizer] make the decisions;
// [Forecast] smooths and extrapolates the load that they are based on.
package fleet

import (
	"expvar"

	mn "mustardnotch"
)

// counters counts orders to the platform by result, role changes, and the time for
// which endpoints are paid, in milliseconds.
var counters = expvar.NewMap("fleet")

// AddEndpointTime adds the time for which endpoints are paid over a duration to the
// counters.
func AddEndpointTime(endpoints int, duration mn.Millis) {
	counters.Add("endpoint_ms", int64(endpoints)*int64(duration))
}
