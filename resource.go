package mustardnotch

// ResourceKind is a kind of declared resource.
type ResourceKind string

// Kinds of declared resources.
const (
	KindCustomer ResourceKind = "customer"
	KindKey      ResourceKind = "key"
	KindModel    ResourceKind = "model"
	KindPool     ResourceKind = "pool"
)

// ResourceName identifies a resource in a configuration.
type ResourceName struct {
	Kind ResourceKind `json:"kind"`
	Name string       `json:"name"`
}

// String returns "kind name", the form of a section title in resource files.
func (n ResourceName) String() string { return string(n.Kind) + " " + n.Name }

// Customer is a declared customer.
type Customer struct {
	ID CustomerID `json:"id"`
	// Rate is the sustained number of requests a second that the customer may
	// send.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that the customer may send at once.
	Burst float64 `json:"burst"`
	// Weight is the customer's weight in the fair queue of an endpoint; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Key is a declared caller's key. Only its hash is stored.
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
	// Version is the version of the weights that the engines load.
	Version string `json:"version"`
	// MaxTokens is the maximum number of tokens generated for one request.
	MaxTokens int64 `json:"max_tokens"`
}

// PoolKind distinguishes pools of model engines from pools of plain services.
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
	// Open allows callers without a key to use the pool.
	Open bool `json:"open,omitempty"`
	// Repeatable allows a call to run again after an unknown outcome.
	Repeatable bool `json:"repeatable,omitempty"`
	// Fencing reports whether the pool's endpoints reject orders of older terms.
	Fencing bool `json:"fencing,omitempty"`
	// MinEndpoints and MaxEndpoints bound the size of the pool.
	MinEndpoints int64 `json:"min_endpoints,omitempty"`
	MaxEndpoints int64 `json:"max_endpoints,omitempty"`
}

// Resource is a declared resource. Exactly one field is set.
type Resource struct {
	Customer *Customer `json:"customer,omitempty"`
	Key      *Key      `json:"key,omitempty"`
	Model    *Model    `json:"model,omitempty"`
	Pool     *Pool     `json:"pool,omitempty"`
}

// Name returns the name of the resource in r.
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
