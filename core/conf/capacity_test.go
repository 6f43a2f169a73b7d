package conf

import (
	"fmt"
	"runtime"
	"testing"

	mn "mustardnotch"
)

// newPopulated returns a state machine with n members and n resources.
func newPopulated(b *testing.B, n int) *StateMachine {
	b.Helper()
	sm := New()
	for i := range n {
		name := mn.CustomerID(fmt.Sprintf("customer-%d", i))
		set := mn.Resource{Customer: &mn.Customer{ID: name, Rate: 1, Burst: 1}}
		member := &mn.Member{VM: mn.VMID(fmt.Sprintf("vm-%d", i)), Incarnation: "1", Role: mn.RoleAgent, Addr: "10.0.0.1:7003", Pool: "p"}
		applyRecord(sm.view, mn.Offset(2*i+1), &mn.Record{Change: &mn.Change{Edits: []mn.Edit{{Name: set.Name(), Set: &set}}}})
		applyRecord(sm.view, mn.Offset(2*i+2), &mn.Record{Join: member})
	}
	sm.view.Offset = mn.Offset(2 * n)
	return sm
}

// BenchmarkApply measures the time to apply one record for different numbers of
// members and resources, and the memory of the state machine.
func BenchmarkApply(b *testing.B) {
	for _, kind := range []string{"renewal", "change", "join"} {
		for _, n := range []int{100, 1000, 4000} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) { benchApply(b, kind, n) })
		}
	}
}

func benchApply(b *testing.B, kind string, n int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sm := newPopulated(b, n)
	runtime.GC()
	runtime.ReadMemStats(&after)
	records := make([]mn.LogEntry, b.N)
	for i := range records {
		offset := sm.View().Offset + mn.Offset(i) + 1
		r := &mn.Record{Version: 1, ID: mn.RecordID(fmt.Sprint(i)), Writer: "w"}
		set := mn.Resource{Customer: &mn.Customer{ID: "customer-0", Rate: 1, Burst: 1}}
		base := offset - 1
		if i == 0 {
			base = 1
		}
		switch kind {
		case "renewal":
			r.Claim = &mn.Claim{Incarnation: "1", TTL: 3000}
		case "change":
			r.Change = &mn.Change{Edits: []mn.Edit{{Name: set.Name(), Base: base, Set: &set}}}
		case "join":
			r.Join = &mn.Member{VM: "vm-0", Incarnation: mn.Incarnation(fmt.Sprint(i))}
		}
		data, err := mn.EncodeRecord(r)
		if err != nil {
			b.Fatal(err)
		}
		records[i] = mn.LogEntry{Offset: offset, Data: data}
	}
	b.ResetTimer()
	for i := range records {
		if err := sm.Apply(records[i : i+1]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap_bytes/member+resource")
}
