// Package paths determines the route, the pool and the customer of an HTTP request.
package paths

import (
	"hash/fnv"
	"net"
	"slices"
	"strings"

	mn "mustardnotch"
)

// Table is an index of one catalog. It is immutable.
type Table struct {
	Catalog *mn.Catalog
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*mn.Route
	byKey  map[mn.KeyHash]*mn.CustomerSpec
}

// New returns the index of c.
func New(c *mn.Catalog) *Table {
	t := &Table{Catalog: c, byHost: map[string][]*mn.Route{}, byKey: map[mn.KeyHash]*mn.CustomerSpec{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *mn.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Customers {
		s := &c.Customers[i]
		for _, k := range s.Keys {
			t.byKey[k] = s
		}
	}
	return t
}

// Route returns the route of host with the longest prefix of path. The host may include
// a port.
func (t *Table) Route(host, path string) (*mn.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// CustomerByKey returns the customer that holds key.
func (t *Table) CustomerByKey(key string) (*mn.CustomerSpec, bool) {
	s, ok := t.byKey[mn.HashKey(key)]
	return s, ok
}

// RequiresKeys reports whether the catalog declares customers, so that requests need
// keys.
func (t *Table) RequiresKeys() bool { return len(t.Catalog.Customers) > 0 }

// ChoosePool returns one of the route's pools, chosen by their weights. The same id
// always gets the same pool.
func ChoosePool(r *mn.Route, id mn.RequestID) mn.PoolID {
	if len(r.Shares) == 1 {
		return r.Shares[0].Pool
	}
	var sum float64
	for _, s := range r.Shares {
		sum += max(0, s.Weight)
	}
	h := fnv.New64a()
	h.Write([]byte(id)) // Writing to a hash never fails.
	// A float64 holds 53 bits without rounding.
	point := float64(h.Sum64()>>11) / (1 << 53) * sum
	for _, s := range r.Shares {
		if point -= max(0, s.Weight); point < 0 {
			return s.Pool
		}
	}
	return r.Shares[0].Pool
}
