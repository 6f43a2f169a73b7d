package feed_test

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/feed"
)

// oneRecord is a log that has one record and takes no more.
type oneRecord struct{ data []byte }

func (o oneRecord) Append(context.Context, mn.Stream, []byte) (mn.Offset, error) {
	return 0, fmt.Errorf("log is full")
}

func (o oneRecord) Read(context.Context, mn.Stream, mn.Offset, int, mn.Millis) (mn.LogBatch, error) {
	return mn.LogBatch{Entries: []mn.LogEntry{{Offset: 1, Data: o.data}}, First: 1, Head: 1}, nil
}

// until ends the example at the first proof of currency.
type until struct{ stop func() }

func (u until) ObserveHead(_ mn.Millis, head mn.Offset) {
	fmt.Println("current at offset", head)
	u.stop()
}
func (until) ObserveEstablished(mn.Offset) {}
func (until) Fail(error)                   {}

// A follower feeds a fold and says when it has caught up.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	data, _ := mn.EncodeRecord(&mn.Record{Version: 1, ID: "r1", Join: &mn.Member{VM: "entry-1", Incarnation: "run-1", Role: mn.RoleEntry}})
	fold := conf.New()
	f := feed.New(fold, until{stop}, mn.NewSystemClock(), func(event string, err error) { fmt.Println(event, err) })
	_ = f.FollowLog(ctx, oneRecord{data}, func() bool { return true })
	fmt.Println(len(fold.View().Entries()), "entry")
	// Output:
	// current at offset 1
	// 1 entry
}
