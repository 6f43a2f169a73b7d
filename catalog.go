package mustardnotch

// EndpointID names one endpoint. A restarted endpoint may keep its id.
type EndpointID string

// EndpointState says whether an endpoint takes new work.
type EndpointState string

// States of an endpoint.
const (
	EndpointReady   EndpointState = "ready"
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint is one endpoint as the platform's list of endpoints describes it.
type Endpoint struct {
	ID EndpointID
	// StartedAt is the endpoint's start in milliseconds since the Unix epoch. It
	// tells two runs under one id apart.
	StartedAt Millis
	// Heartbeat counts the entries that one run of the endpoint wrote. They may come
	// out of order.
	Heartbeat  int64
	Pool       PoolID
	Addr       string
	DataCentre DataCentre
	// Capacity is how many requests the endpoint runs at once.
	Capacity int64
	State    EndpointState
	// Role is empty for plain services.
	Role EngineRole
	// Unlisted says that the entry is missing since an outage of the list, and may
	// come back.
	Unlisted bool
	// Changing says that the endpoint is carrying out an order.
	Changing bool
}

// RouteKind says how a route's requests may be repeated.
type RouteKind string

// Kinds of routes.
const (
	// RouteStream answers with a stream of events.
	RouteStream RouteKind = "stream"
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce requests run at most once.
	RouteAtMostOnce RouteKind = "once"
)

// PoolShare is a pool's part of a route's requests.
type PoolShare struct {
	Pool   PoolID
	Weight float64
}

// Route sends the requests of a host under a path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Shares has the pools that serve the route, at least one.
	Shares []PoolShare
	// Timeout is when a request gets its final answer at the latest, 0 for never.
	Timeout Millis
	// LatencyGoal is the time within which an answer is worth most to the caller.
	LatencyGoal Millis
	// Urgency orders routes; 0 is the most urgent.
	Urgency int
	// Attempts is how many endpoints one request may be sent to.
	Attempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another endpoint after the last event.
	Resumable bool
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// EngineSpec describes the model engines of a pool.
type EngineSpec struct {
	Capacity int64
	// KVTokens is how many tokens an engine's KV cache holds.
	KVTokens int64
	// KVBytesPerToken is the size of one token's KV cache.
	KVBytesPerToken int64
	LinkMbps        float64
}

// PoolSpec describes the endpoints of a pool.
type PoolSpec struct {
	ID PoolID
	// MaxConns bounds the connections that one endpoint accepts from all VMs.
	MaxConns int64
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// CustomerSpec is a customer with its keys and the unit of its rate.
type CustomerSpec struct {
	Customer
	Keys []KeyHash
	// ByToken says that rate and burst count tokens rather than requests.
	ByToken bool
	// PlainTokens is what a request without token counts costs.
	PlainTokens float64
	// Urgency, if set, goes before the route's.
	Urgency *int
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxBodyBytes int64
}

// Catalog is one version of the whole declared configuration of HTTP serving.
// It is immutable.
type Catalog struct {
	Version   int64
	Offset    Offset
	Routes    []Route
	Pools     map[PoolID]PoolSpec
	Customers []CustomerSpec
	Limits    CallerLimits
}
