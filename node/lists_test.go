package node

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	mn "mustardnotch"
	"mustardnotch/core/relay"
	"mustardnotch/io/gossip"
	"mustardnotch/io/wire"
)

// hangingStore is a store of which one read of the list of endpoints gets no answer.
type hangingStore struct {
	mn.Store
	// hang makes the next read hang until its context ends.
	hang *atomic.Bool
}

func (s hangingStore) Newest(ctx context.Context, feed mn.FeedKind) ([]mn.Item, mn.Offset, error) {
	if feed == mn.EndpointFeed && s.hang.CompareAndSwap(true, false) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.Store.Newest(ctx, feed)
}

func (s hangingStore) Follow(ctx context.Context, feed mn.FeedKind, from mn.Offset, wait mn.Millis) ([]mn.Item, mn.Offset, error) {
	if feed == mn.EndpointFeed && s.hang.CompareAndSwap(true, false) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.Store.Follow(ctx, feed, from, wait)
}

// A read of the list gets no answer while the store answers other calls. The front must
// not send on a list that is older than the time within which a leaving endpoint must
// get no more requests.
func TestNoRequestReachesLeavingEndpointWhileReadHangs(t *testing.T) {
	c := newTestCluster(t)
	var hang atomic.Bool
	c.wrapStore = func(s mn.Store) mn.Store { return hangingStore{s, &hang} }
	c.start("a")
	status, _ := c.get("a", "/a/", "k")
	require.Equal(t, 200, status)
	hang.Store(true)
	c.eventually(func() bool { return !hang.Load() })
	require.NoError(t, c.store.Write(mn.EndpointFeed, "e-1", nil))
	time.Sleep(drainWithin.Duration())
	before := c.arrivals.Load()
	for range 10 {
		c.get("a", "/a/", "k")
		time.Sleep(20 * time.Millisecond)
	}
	require.Zero(t, c.arrivals.Load()-before, "requests at an endpoint that left %d ms ago", drainWithin)
}

// busyPeer is a front that knows of a newer configuration and a newer list of endpoints.
// Its answer with the configuration doesn't arrive.
type busyPeer struct {
	front mn.Front
	list  []mn.Endpoint
	stop  <-chan struct{}
}

func (p *busyPeer) State(*gossip.Cursor, mn.StateScope) mn.FrontState {
	return mn.FrontState{
		VM: p.front.VM, Incarnation: p.front.Incarnation, Addr: p.front.Addr, Uptime: mn.Minute,
		CatalogOffset: 1_000_000, ListFingerprint: relay.Fingerprint(p.list),
	}
}

func (p *busyPeer) CatalogItem() mn.Item {
	<-p.stop
	return mn.Item{}
}

func (p *busyPeer) ReceiveState(mn.FrontState, mn.Millis) {}
func (p *busyPeer) Endpoints() ([]mn.Endpoint, mn.Millis) { return p.list, 0 }
func (p *busyPeer) CachedPrompts() []mn.PrefilledPrompt   { return nil }

// A configuration is on its way from a peer, over a slow link, while endpoints leave.
func TestFetchOfConfigurationDoesNotHoldUpList(t *testing.T) {
	c := newTestCluster(t, "a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := &busyPeer{front: mn.Front{VM: "b", Incarnation: "1", Addr: l.Addr().String()}, stop: t.Context().Done()}
	mux := drpcmux.New()
	require.NoError(t, gossip.NewServer(peer).Register(mux))
	go wire.Serve(t.Context(), l, mux) //nolint // Ends with the test.
	value, err := json.Marshal(peer.front)
	require.NoError(t, err)
	a := c.fronts["a"]
	a.peers.apply(mn.Item{Key: "b", Value: value})
	c.eventually(func() bool { return a.peers.count() == 2 && len(a.peers.alive(a.clock.Now(), aliveWindow)) > 0 })
	c.store.SetDown("a", true)
	c.eventually(func() bool {
		_, ok := a.balancer.Endpoint("e-1")
		return !ok
	})
	_, at := a.view.listed()
	require.Less(t, a.clock.Now()-at, drainWithin/2)
}

// A front that nobody answers must not send on an old list either. It serves again,
// with the list that it has, once it has been cut off for long.
func TestIsolatedFrontRejectsUntilListCannotBeConfirmed(t *testing.T) {
	c := newTestCluster(t)
	var cut atomic.Bool
	c.wrapStore = func(s mn.Store) mn.Store { return cutStore{s, &cut} }
	c.catalog.Routes[0].Open = true
	c.write()
	c.start("a")
	a := c.fronts["a"]
	cut.Store(true)
	c.eventually(func() bool { return a.view.ListAge() > a.view.maxSendAge() })
	for a.view.ListAge() < a.view.maxSendAge()+maxSilence/2 {
		before, age := c.arrivals.Load(), a.view.ListAge()
		status, body := c.get("a", "/a/", "")
		require.Equal(t, 503, status, "list of %d ms", age)
		require.Contains(t, body, "MN204")
		require.Equal(t, before, c.arrivals.Load())
		time.Sleep(50 * time.Millisecond)
	}
	c.eventually(func() bool { status, _ := c.get("a", "/a/", ""); return status == 200 })
	cut.Store(false)
	c.eventually(func() bool { return a.view.ListAge() < a.view.maxListAge() })
}

// cutStore is a store that answers nothing while it is cut off.
type cutStore struct {
	mn.Store
	cut *atomic.Bool
}

func (s cutStore) Newest(ctx context.Context, feed mn.FeedKind) ([]mn.Item, mn.Offset, error) {
	if s.cut.Load() {
		return nil, 0, awaitTimeout(ctx)
	}
	return s.Store.Newest(ctx, feed)
}

func (s cutStore) Follow(ctx context.Context, feed mn.FeedKind, from mn.Offset, wait mn.Millis) ([]mn.Item, mn.Offset, error) {
	if s.cut.Load() {
		return nil, 0, awaitTimeout(ctx)
	}
	return s.Store.Follow(ctx, feed, from, wait)
}

// awaitTimeout returns the error of a call without an answer.
func awaitTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}
