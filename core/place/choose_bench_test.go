package place

import (
	"fmt"
	"testing"

	mn "mustardnotch"
)

// BenchmarkChoose places short and long prompts on 41 engines while 21 peer fronts
// have load on every engine.
func BenchmarkChoose(b *testing.B) {
	for _, long := range []bool{false, true} {
		b.Run(fmt.Sprintf("long=%t", long), func(b *testing.B) {
			clock := mn.NewManualClock(1_000_000)
			balancer := New(Config{DataCentre: "a"}, clock)
			balancer.SetPools(map[mn.PoolID]mn.PoolSpec{"p": {Engine: &mn.EngineSpec{KVTokens: 570_985, LinkMbps: 280_000, KVBytesPerToken: 18_432}}})
			var list []mn.Endpoint
			for i := range 41 {
				e := mn.Endpoint{ID: mn.EndpointID(fmt.Sprint("i-", i)), Pool: "p", Capacity: 64, State: mn.EndpointReady, DataCentre: "b"}
				if i < 14 {
					e.Role = mn.EnginePrefill
				}
				list = append(list, e)
			}
			balancer.SetEndpoints(list)
			for i := range 21 {
				f := mn.FrontState{VM: mn.VMID(fmt.Sprint("front-", i)), Scope: mn.ScopeAll}
				for _, e := range list {
					f.Loads = append(f.Loads, mn.EndpointLoad{Endpoint: e.ID, Requests: 1, PrefillTime: 5})
				}
				balancer.ReceiveState(f)
			}
			tokens := int64(383)
			if long {
				tokens = 17_000
			}
			n := 0
			for b.Loop() {
				n++
				info := &mn.PromptInfo{Tokens: tokens, MaxOutput: 10, Segments: []mn.PromptSegment{{ID: fmt.Sprint("shared-", n%200), Tokens: tokens * 3 / 4}, {ID: fmt.Sprint("own-", n), Tokens: tokens / 4}}}
				p, _ := balancer.Choose(&Job{Pool: "p", Prompt: info, FirstEventDeadline: clock.Now() + 600, Deadline: clock.Now() + 5000}, true)
				if p != nil {
					balancer.Release(p)
				}
			}
		})
	}
}

// BenchmarkAddState adds what has changed to the states for 300 peer fronts, with 3,000 engines.
func BenchmarkAddState(b *testing.B) {
	clock := mn.NewManualClock(1_000_000)
	balancer := newBalancer(clock, "dc-0")
	var list []mn.Endpoint
	for i := range 3000 {
		e := engines()[i%9]
		e.ID = mn.EndpointID(fmt.Sprint("engine-", i))
		list = append(list, e)
	}
	balancer.SetEndpoints(list)
	for _, e := range list {
		balancer.ObserveReply(e, mn.ReplyInfo{Pace: 100})
	}
	cursors := make([]Cursor, 300)
	for b.Loop() {
		clock.Advance(timingsInterval)
		for i := range cursors {
			var state mn.FrontState
			balancer.AddState(&state, &cursors[i], false)
		}
	}
}
