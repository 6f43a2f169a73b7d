package mustardnotch

// Role distinguishes the kinds of processes in the roster.
type Role string

// Roles of the system's processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member is a process as it joined the roster.
type Member struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Role        Role        `json:"role"`
	// Addr is the ip:port at which the process serves its peers.
	Addr       string     `json:"addr"`
	DataCentre DataCentre `json:"data_centre"`
	// Pool is the pool of an agent's endpoint, empty for an entry.
	Pool PoolID `json:"pool,omitempty"`
}

// View is the state of the control stream at an offset. A View is immutable: each
// change makes a new one.
type View struct {
	// Offset is the offset of the last record that the view includes.
	Offset Offset
	// Resources holds every declared resource by name.
	Resources map[ResourceName]Versioned
	// Keys holds the declared keys by hash.
	Keys map[KeyHash]Key
	// Roster holds the members by VM.
	Roster map[VMID]Member
	// Leaving holds the incarnations of members that have announced their
	// departure, by VM.
	Leaving map[VMID]Incarnation
	// ServedPools holds the pools that have ever had an agent.
	ServedPools map[PoolID]bool
	// Lease is the control lease according to the log.
	Lease Lease
}

// Lease is the last valid claim of the control lease.
type Lease struct {
	Holder      VMID        `json:"holder"`
	Incarnation Incarnation `json:"incarnation"`
	Term        Term        `json:"term"`
	// Last is the offset of the last valid claim, renewal or release.
	Last Offset `json:"last"`
	// TTL is how long the lease lasts after each renewal.
	TTL Millis `json:"span"`
}

// Customer returns a declared customer.
func (v *View) Customer(id CustomerID) (Customer, bool) {
	r, ok := v.Resources[ResourceName{KindCustomer, string(id)}]
	if !ok {
		return Customer{}, false
	}
	return *r.Resource.Customer, true
}

// Model returns a declared model.
func (v *View) Model(id ModelID) (Model, bool) {
	r, ok := v.Resources[ResourceName{KindModel, string(id)}]
	if !ok {
		return Model{}, false
	}
	return *r.Resource.Model, true
}

// Pool returns a declared pool.
func (v *View) Pool(id PoolID) (Pool, bool) {
	r, ok := v.Resources[ResourceName{KindPool, string(id)}]
	if !ok {
		return Pool{}, false
	}
	return *r.Resource.Pool, true
}

// Agents returns the agents of a pool that are not leaving, in no particular
// order.
func (v *View) Agents(pool PoolID) []Member {
	var agents []Member
	for _, m := range v.Roster {
		if m.Role != RoleAgent || m.Pool != pool || v.IsLeaving(m) {
			continue
		}
		agents = append(agents, m)
	}
	return agents
}

// Entries returns the entries that are not leaving, in no particular order.
func (v *View) Entries() []Member {
	var entries []Member
	for _, m := range v.Roster {
		if m.Role == RoleEntry && !v.IsLeaving(m) {
			entries = append(entries, m)
		}
	}
	return entries
}

// IsLeaving reports whether m has announced its departure.
func (v *View) IsLeaving(m Member) bool {
	return v.Leaving[m.VM] == m.Incarnation
}
