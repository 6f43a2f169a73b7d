package conf_test

import (
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/conf"
)

// Two operators base a change on the same version; the log's order decides.
func Example() {
	fold := conf.New()
	declare := func(rate float64, base mn.Offset) mn.LogEntry {
		set := mn.Resource{Customer: &mn.Customer{ID: "bank", Rate: rate, Burst: 10}}
		data, _ := mn.EncodeRecord(&mn.Record{
			Version: mn.RecordVersion,
			ID:      mn.NewRecordID(),
			Change:  &mn.Change{Edits: []mn.Edit{{Name: set.Name(), Base: base, Set: &set}}},
		})
		return mn.LogEntry{Offset: fold.View().Offset + 1, Data: data}
	}
	fold.OnRecord(func(off mn.Offset, _ *mn.Record, v conf.ApplyResult) {
		fmt.Println(off, v.Err == nil)
	})
	for _, rate := range []float64{5, 7} {
		if err := fold.Apply([]mn.LogEntry{declare(rate, 0)}); err != nil {
			fmt.Println(err)
		}
	}
	bank, _ := fold.View().Customer("bank")
	fmt.Println(bank.Rate)
	// Output:
	// 1 true
	// 2 false
	// 5
}
