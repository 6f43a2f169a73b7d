package conf_test

import (
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

// Two operators base a change on the same version. The order of the log decides
// which change is accepted.
func Example() {
	state := conf.New()
	declare := func(rate float64, base mn.Offset) mn.LogEntry {
		set := mn.Resource{Customer: &mn.Customer{ID: "bank", Rate: rate, Burst: 10}}
		data, _ := mn.EncodeRecord(&mn.Record{
			Version: mn.RecordVersion,
			ID:      mn.NewRecordID(),
			Change:  &mn.Change{Edits: []mn.Edit{{Name: set.Name(), Base: base, Set: &set}}},
		})
		return mn.LogEntry{Offset: state.View().Offset + 1, Data: data}
	}
	state.OnRecord(func(off mn.Offset, _ *mn.Record, res conf.ApplyResult) {
		fmt.Println(off, res.Err == nil)
	})
	for _, rate := range []float64{5, 7} {
		if err := state.Apply([]mn.LogEntry{declare(rate, 0)}); err != nil {
			fmt.Println(err)
		}
	}
	bank, _ := state.View().Customer("bank")
	fmt.Println(bank.Rate)
	// Output:
	// 1 true
	// 2 false
	// 5
}
