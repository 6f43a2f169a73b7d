package paths

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

func table() *Table {
	one := []mn.PoolShare{{Pool: "p", Weight: 1}}
	return New(&mn.Catalog{
		Routes: []mn.Route{
			{Name: "short", Host: "A.example", Prefix: "/x/", Shares: one},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: one},
			{Name: "other", Host: "b.example", Prefix: "/", Shares: one},
		},
		Customers: []mn.CustomerSpec{{Customer: mn.Customer{ID: "c"}, Keys: []mn.KeyHash{mn.HashKey("k1"), mn.HashKey("k2")}}},
	})
}

func TestRoute(t *testing.T) {
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	} {
		r, ok := table().Route(tc.host, tc.path)
		require.Equal(t, tc.want != "", ok, "%s%s", tc.host, tc.path)
		if ok {
			require.Equal(t, tc.want, r.Name, "%s%s", tc.host, tc.path)
		}
	}
}

func TestCustomerByKey(t *testing.T) {
	for _, k := range []string{"k1", "k2"} {
		s, ok := table().CustomerByKey(k)
		require.True(t, ok)
		require.Equal(t, mn.CustomerID("c"), s.ID)
	}
	_, ok := table().CustomerByKey("k3")
	require.False(t, ok)
	require.True(t, table().RequiresKeys())
}

func TestPoolFollowsWeights(t *testing.T) {
	r := &mn.Route{Shares: []mn.PoolShare{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c", Weight: 0}}}
	got := map[mn.PoolID]int{}
	for i := range 10_000 {
		got[ChoosePool(r, mn.RequestID(fmt.Sprintf("%016x", i*2654435761)))]++
	}
	require.InDelta(t, 9000, got["a"], 200)
	require.InDelta(t, 1000, got["b"], 200)
	require.Zero(t, got["c"])
	require.Equal(t, ChoosePool(r, "same"), ChoosePool(r, "same"))
}
