package fleet_test

import (
	"fmt"

	"mustardnotch/core/fleet"

	mn "mustardnotch"
)

// The load has shifted to prefill, so a decode engine should change its role.
func ExampleRolePolicy() {
	engines := []fleet.EngineInfo{
		{VM: "vm1", Role: mn.EnginePrefill},
		{VM: "vm2", Role: mn.EngineDecode, Running: 7},
		{VM: "vm3", Role: mn.EngineDecode, Running: 2},
	}
	loads := fleet.CustomerLoads{"voering": {Prefill: 1.8, Decode: 0.7}}
	change, ok := fleet.NewRolePolicy(fleet.DefaultRoleSettings()).Next(engines, loads)
	fmt.Println(ok, change.VM, change.To)
	// Output: true vm3 prefill
}
