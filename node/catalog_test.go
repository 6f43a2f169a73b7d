package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// catalogStore counts the reads that return a catalog.
type catalogStore struct {
	mn.Store
	reads *atomic.Int64
}

func (s catalogStore) Follow(ctx context.Context, feed mn.FeedKind, from mn.Offset, wait mn.Millis) ([]mn.Item, mn.Offset, error) {
	items, next, err := s.Store.Follow(ctx, feed, from, wait)
	if feed == mn.CatalogFeed && len(items) > 0 {
		s.reads.Add(1)
	}
	return items, next, err
}

func (s catalogStore) Newest(ctx context.Context, feed mn.FeedKind) ([]mn.Item, mn.Offset, error) {
	items, next, err := s.Store.Newest(ctx, feed)
	if feed == mn.CatalogFeed && len(items) > 0 {
		s.reads.Add(1)
	}
	return items, next, err
}

// A configuration grows by so many routes that the links of the two fronts that read
// the store would be busy for seconds with sending it to all others. Only the front that
// the store rejects may get it from a peer.
func TestLargeConfigurationIsNotSentToAllFronts(t *testing.T) {
	const fronts = 6
	c := newTestCluster(t)
	reads := map[string]*atomic.Int64{}
	for i := range fronts {
		name := fmt.Sprint("front-", i)
		reads[name] = &atomic.Int64{}
		c.wrapStore = func(s mn.Store) mn.Store { return catalogStore{s, reads[name]} }
		c.start(name)
	}
	time.Sleep(1500 * time.Millisecond) // The fronts discover their peers.
	for i := range 1500 {
		c.catalog.Routes = append(c.catalog.Routes, mn.Route{Name: fmt.Sprint("route-", i), Host: "h", Prefix: fmt.Sprintf("/route-%d/", i), Kind: mn.RouteIdempotent, Shares: []mn.PoolShare{{Pool: "p"}}, Attempts: 1})
	}
	const rejected = "front-3"
	c.store.SetDown(rejected, true)
	before := map[string]int64{}
	for name, n := range reads {
		before[name] = n.Load()
	}
	c.write()
	begin := time.Now()
	for name, f := range c.fronts {
		c.eventually(func() bool { table, _ := f.view.Table(); return len(table.Catalog.Routes) > 1500 })
		if name != rejected {
			require.Positive(t, reads[name].Load()-before[name], "reads of the store by %s", name)
		}
	}
	require.Less(t, time.Since(begin), time.Second)
}
