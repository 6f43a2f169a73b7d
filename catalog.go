package mustardnotch

// EndpointID identifies an endpoint. A restarted endpoint may keep its id.
type EndpointID string

// EndpointState is whether an endpoint accepts new requests.
type EndpointState string

// States of an endpoint.
const (
	EndpointReady   EndpointState = "ready"
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint describes an endpoint according to the platform's endpoint list.
type Endpoint struct {
	ID EndpointID
	// StartedAt is when the endpoint started, in milliseconds since the Unix
	// epoch. It distinguishes two runs of an endpoint under the same id.
	StartedAt Millis
	// Heartbeat is the number of this entry among those that the current run of
	// the endpoint has written. Entries may arrive out of order.
	Heartbeat  int64
	Pool       PoolID
	Addr       string
	DataCentre DataCentre
	// Capacity is the number of requests the endpoint can run concurrently.
	Capacity int64
	State    EndpointState
	// Role is empty for endpoints of plain services.
	Role EngineRole
	// Unlisted reports whether the entry disappeared around an outage of the
	// endpoint list. Such an entry may reappear.
	Unlisted bool
	// Changing reports whether the endpoint is still carrying out an order.
	Changing bool
	// ColdLeft is how much longer the endpoint stays cold, as it said in its entry. A cold
	// endpoint crashes if it gets many requests.
	ColdLeft Millis
}

// RouteKind determines whether the requests of a route may be retried.
type RouteKind string

// Kinds of routes.
const (
	// RouteStream requests are answered with a stream of events.
	RouteStream RouteKind = "stream"
	// RouteIdempotent requests can run more than once without harm.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce requests must not run more than once.
	RouteAtMostOnce RouteKind = "once"
)

// PoolShare assigns a pool part of a route's requests, in proportion to Weight.
type PoolShare struct {
	Pool   PoolID
	Weight float64
}

// Route maps requests for a host and a path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Shares lists the pools that serve the route. There is at least one.
	Shares []PoolShare
	// Timeout bounds the time until a request is fully answered; 0 means no bound.
	Timeout Millis
	// LatencyGoal is the time within which callers want an answer. A later answer,
	// up to Timeout, is still useful to them but worth less.
	LatencyGoal Millis
	// Urgency ranks routes; 0 is the most urgent.
	Urgency int
	// Attempts is the maximum number of endpoints to which one request is sent.
	Attempts int
	// Open routes accept requests without a key.
	Open bool
	// Resumable streams can continue at another endpoint after the last event
	// received.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// EngineSpec describes the model engines of a pool.
type EngineSpec struct {
	// Capacity is the number of requests an engine can run concurrently.
	Capacity int64
	// KVTokens is the capacity of an engine's KV cache in tokens.
	KVTokens int64
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64
	// LinkMbps is the bandwidth for KV cache transfers, in megabits a second.
	LinkMbps float64
	// TokensPerEvent is the number of output tokens in an event of a stream.
	TokensPerEvent int64
	// LocalPrefillSpeed is the prefill speed of an engine that also generates, as a
	// share of that of an engine that only prefills.
	LocalPrefillSpeed float64
	// PauseGoal is the longest pause between two events of a stream for which an answer
	// is on time, the shortest of all routes to the pool; 0 means no bound.
	PauseGoal Millis
}

// PoolSpec describes the endpoints of a pool.
type PoolSpec struct {
	ID PoolID
	// MaxConns is the maximum number of connections that one endpoint accepts
	// from all VMs together.
	MaxConns int64
	// ColdRate is the number of requests a second that a cold endpoint bears from all VMs
	// together, 0 if it bears any. ColdFor is how long an endpoint stays cold at most.
	ColdRate float64
	ColdFor  Millis
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// CustomerSpec is a customer with its keys and the unit of its rate limit.
type CustomerSpec struct {
	Customer
	Keys []KeyHash
	// ByToken reports whether rate and burst count tokens rather than requests.
	ByToken bool
	// PlainTokens is the cost in tokens of a request without token counts.
	PlainTokens float64
	// Urgency, if set, overrides that of the route.
	Urgency *int
}

// CallerLimits bounds the size of callers' requests.
type CallerLimits struct {
	MaxBodyBytes int64
}

// Catalog is one version of the complete configuration of the fronts. It is
// immutable.
type Catalog struct {
	Version   int64
	Offset    Offset
	Routes    []Route
	Pools     map[PoolID]PoolSpec
	Customers []CustomerSpec
	Limits    CallerLimits
}
