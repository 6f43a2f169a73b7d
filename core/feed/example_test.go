package feed_test

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/feed"
)

// oneRecordLog is a log that holds one record and rejects appends.
type oneRecordLog struct{ data []byte }

func (l oneRecordLog) Append(context.Context, mn.Stream, []byte) (mn.Offset, error) {
	return 0, fmt.Errorf("log is full")
}

func (l oneRecordLog) Read(context.Context, mn.Stream, mn.Offset, int, mn.Millis) (mn.LogBatch, error) {
	return mn.LogBatch{Entries: []mn.LogEntry{{Offset: 1, Data: l.data}}, First: 1, Head: 1}, nil
}

// stopAtFirstHead stops the example once the follower has caught up with the
// log for the first time.
type stopAtFirstHead struct{ stop func() }

func (s stopAtFirstHead) ObserveHead(_ mn.Millis, head mn.Offset) {
	fmt.Println("current at offset", head)
	s.stop()
}
func (stopAtFirstHead) ObserveEstablished(mn.Offset) {}
func (stopAtFirstHead) Fail(error)                   {}

// A follower applies the records of a log to a state machine and reports when
// it has caught up.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	data, _ := mn.EncodeRecord(&mn.Record{Version: 1, ID: "r1", Join: &mn.Member{VM: "entry-1", Incarnation: "run-1", Role: mn.RoleEntry}})
	state := conf.New()
	f := feed.New(state, stopAtFirstHead{stop}, mn.NewSystemClock(), func(event string, err error) { fmt.Println(event, err) })
	_ = f.FollowLog(ctx, oneRecordLog{data}, func() bool { return true })
	fmt.Println(len(state.View().Entries()), "entry")
	// Output:
	// current at offset 1
	// 1 entry
}
