package mustardnotch

// ResourceKind tells kinds of declared resources apart.
type ResourceKind string

// Kinds of declared resources.
const (
	KindCustomer ResourceKind = "customer"
	KindKey      ResourceKind = "key"
	KindModel    ResourceKind = "model"
	KindPool     ResourceKind = "pool"
)

// ResourceName identifies a resource among all of a configuration.
type ResourceName struct {
	Kind ResourceKind `json:"kind"`
	Name string       `json:"name"`
}

// String returns "kind name", as resource files write a section.
func (n ResourceName) String() string { return string(n.Kind) + " " + n.Name }

// Customer is a declared customer.
type Customer struct {
	ID CustomerID `json:"id"`
	// Rate is how many requests a second the customer may send in the long run.
	Rate float64 `json:"rate"`
	// Burst is how many requests the customer may send at once.
	Burst float64 `json:"burst"`
	// Weight is the customer's share of a crowded endpoint; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Key is a declared caller's key, of which only the hash is kept.
type Key struct {
	// Name is the operators' name for the key.
	Name      string     `json:"name"`
	Hash      KeyHash    `json:"hash"`
	Customer  CustomerID `json:"customer"`
	Withdrawn bool       `json:"withdrawn,omitempty"`
}

// Model is a declared model.
type Model struct {
	ID ModelID `json:"id"`
	// Version is the version of the weights that engines have to load.
	Version string `json:"version"`
	// MaxTokens bounds the tokens generated for one request.
	MaxTokens int64 `json:"max_tokens"`
}

// PoolKind tells pools of model engines from pools of plain services.
type PoolKind string

// Kinds of pools.
const (
	PoolModel PoolKind = "model"
	PoolPlain PoolKind = "plain"
)

// Pool is a declared pool of endpoints.
type Pool struct {
	ID   PoolID   `json:"id"`
	Kind PoolKind `json:"kind"`
	// Model is the model that a pool of model engines serves.
	Model ModelID `json:"model,omitempty"`
	// Open lets callers without a key use the pool.
	Open bool `json:"open,omitempty"`
	// Repeatable says that a call may be run again after an unknown outcome.
	Repeatable bool `json:"repeatable,omitempty"`
	// Fencing says that the pool's endpoints refuse orders of older terms.
	Fencing bool `json:"fencing,omitempty"`
	// MinEndpoints and MaxEndpoints bound the size of the pool.
	MinEndpoints int64 `json:"min_endpoints,omitempty"`
	MaxEndpoints int64 `json:"max_endpoints,omitempty"`
}

// Resource is one declared resource: exactly one pointer is set.
type Resource struct {
	Customer *Customer `json:"customer,omitempty"`
	Key      *Key      `json:"key,omitempty"`
	Model    *Model    `json:"model,omitempty"`
	Pool     *Pool     `json:"pool,omitempty"`
}

// Name returns the name of the resource that r holds.
func (r Resource) Name() ResourceName {
	switch {
	case r.Customer != nil:
		return ResourceName{KindCustomer, string(r.Customer.ID)}
	case r.Key != nil:
		return ResourceName{KindKey, r.Key.Name}
	case r.Model != nil:
		return ResourceName{KindModel, string(r.Model.ID)}
	case r.Pool != nil:
		return ResourceName{KindPool, string(r.Pool.ID)}
	}
	return ResourceName{}
}

// Versioned is a resource with the offset of the change that last set it.
type Versioned struct {
	Resource Resource `json:"resource"`
	Version  Offset   `json:"version"`
}
