package rates_test

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/rates"
)

// settled is the freshness of a process that has read the whole control stream.
type settled struct{}

func (settled) CheckCurrent() error { return nil }
func (settled) Settled() mn.Offset  { return 1 }

func Example() {
	customer := mn.Customer{ID: "voering", Rate: 0.001, Burst: 2}
	entry := mn.Member{VM: "entry-1", Incarnation: "1", Role: mn.RoleEntry}
	resource := mn.Resource{Customer: &customer}
	ledger := rates.New(rates.Config{VM: entry.VM, Incarnation: entry.Incarnation, Clock: mn.NewSystemClock(), Freshness: settled{}})
	ledger.Update(&mn.View{
		Offset:    1,
		Roster:    map[mn.VMID]mn.Member{entry.VM: entry},
		Resources: map[mn.ResourceName]mn.Versioned{resource.Name(): {Resource: resource}},
	})
	for range 3 {
		err := ledger.Admit(context.Background(), customer, 0)
		fmt.Println(err == nil)
	}
	// Output:
	// true
	// true
	// false
}
