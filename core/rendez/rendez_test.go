package rendez_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/rendez"
)

func Example() {
	members := []mn.VMID{"vm-1", "vm-2", "vm-3"}
	home, _ := rendez.Home("order 17", members)
	fmt.Println(home == rendez.Top("order 17", members, 1)[0])
	// Output: true
}

func members(n int) []mn.VMID {
	var list []mn.VMID
	for i := range n {
		list = append(list, mn.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return list
}

func TestHomeMovesOnlyAffectedKeys(t *testing.T) {
	all := members(10)
	removed := all[3]
	rest := slices.DeleteFunc(slices.Clone(all), func(m mn.VMID) bool { return m == removed })
	counts := map[mn.VMID]int{}
	for range 10000 {
		key := string(mn.NewRequestID())
		before, _ := rendez.Home(key, all)
		after, _ := rendez.Home(key, rest)
		counts[before]++
		if before != removed {
			require.Equal(t, before, after)
		}
		require.Equal(t, after, rendez.Top(key, rest, 2)[0])
	}
	for _, m := range all {
		require.InDelta(t, 1000, counts[m], 200, m)
	}
	_, ok := rendez.Home("x", nil)
	require.False(t, ok)
}
