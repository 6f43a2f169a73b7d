package feed_test

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/feed"
)

// oneRecordLog is a log that has one record and takes no more.
type oneRecordLog struct{ data []byte }

func (o oneRecordLog) Append(context.Context, mn.Stream, []byte) (mn.Offset, error) {
	return 0, fmt.Errorf("log is full")
}

func (o oneRecordLog) Read(context.Context, mn.Stream, mn.Offset, int, mn.Millis) (mn.LogBatch, error) {
	return mn.LogBatch{Entries: []mn.LogEntry{{Offset: 1, Data: o.data}}, First: 1, Head: 1}, nil
}

// stopAtFirstHead ends the example at the first proof of currency.
type stopAtFirstHead struct{ stop func() }

func (u stopAtFirstHead) ObserveHead(_ mn.Millis, head mn.Offset) {
	fmt.Println("current at offset", head)
	u.stop()
}
func (stopAtFirstHead) ObserveEstablished(mn.Offset) {}
func (stopAtFirstHead) Fail(error)                   {}

// A follower feeds a fold and says when it has caught up.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	data, _ := mn.EncodeRecord(&mn.Record{Version: 1, ID: "r1", Join: &mn.Member{VM: "entry-1", Incarnation: "run-1", Role: mn.RoleEntry}})
	fold := conf.New()
	f := feed.New(fold, stopAtFirstHead{stop}, mn.NewSystemClock(), func(event string, err error) { fmt.Println(event, err) })
	_ = f.FollowLog(ctx, oneRecordLog{data}, func() bool { return true })
	fmt.Println(len(fold.View().Entries()), "entry")
	// Output:
	// current at offset 1
	// 1 entry
}
