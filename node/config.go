package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	mn "mustardnotch"
	"mustardnotch/core/feed"
	"mustardnotch/core/fresh"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/oper"
	"mustardnotch/io/peer"
	"mustardnotch/io/wire"
)

const (
	// relayCount is the number of peers from which a process relays the control
	// stream.
	relayCount = 2
	// anyPeerEvery is the number of attempts of which the last may use any peer,
	// and the others use an entry.
	anyPeerEvery = 3
	// joinTimeout is how long a process waits to be on the roster. After that it
	// may be ready without, so that a process can start while the log is down.
	joinTimeout = 2 * mn.Second
)

// configFollower holds the parts with which a process follows the control stream and
// exchanges state with its peers.
type configFollower struct {
	monitor  *fresh.Monitor
	guard    *fresh.Guard
	writer   *feed.Writer
	follower *feed.Follower
	peers    *peer.Client
	probes   *wire.ConnPool
	// status and lender answer requests of peers. They are optional and must be set
	// before the process runs.
	status peer.StatusFunc
	lender peer.Lender
	// onCrash, if set, is called with each crash notice from a peer.
	onCrash   func(mn.CrashRecord)
	left      chan struct{}
	leaveOnce sync.Once
}

func newConfigFollower(b *base) *configFollower {
	probes := wire.NewProbePool(b.settings.PeerAddr)
	peers := peer.NewClient(b.self.VM, probes)
	monitor := fresh.New(b.self.VM, b.self.Incarnation, b.controlState, b.clock, peers, fresh.DefaultParams())
	return &configFollower{
		monitor:  monitor,
		guard:    fresh.NewGuard(b.controlState, monitor, b.clock),
		writer:   feed.NewWriter(b.platform, b.controlState, b.self.VM, b.clock),
		follower: feed.New(b.controlState, monitor, b.clock, b.warn),
		peers:    peers,
		probes:   probes,
		left:     make(chan struct{}),
	}
}

func (b *base) warn(event string, err error) {
	b.log.WithField("event", event).Warn(err)
}

// stopAnswering stops the replies to peers. It must be called before the record that the
// process has left is appended.
func (c *configFollower) stopAnswering() {
	c.leaveOnce.Do(func() { close(c.left) })
}

// registerPeer adds the Peer service to mux.
func (b *base) registerPeer(mux drpc.Mux) error {
	server := peer.NewServer(b.controlState, b.config.monitor, b.config.statusFunc(b), b.config.lender, b.config.left)
	server.OnCrash(b.config.onCrash)
	return server.Register(mux)
}

// statusFunc returns the function that answers requests for the state of the process.
func (c *configFollower) statusFunc(b *base) peer.StatusFunc {
	return func() *meshpb.Status {
		st := &meshpb.Status{}
		if c.status != nil {
			st = c.status()
		}
		st.Leaving = b.leaving.Load()
		return st
	}
}

// followConfig keeps the view and the evidence of its freshness up to date until ctx is
// done.
func (b *base) followConfig(ctx context.Context) error {
	c := b.config
	b.publishMetrics()
	g, ctx := errgroup.WithContext(ctx)
	run := func(f func() error) {
		g.Go(func() error {
			err := f()
			if ctx.Err() != nil {
				return nil
			}
			return err
		})
	}
	run(func() error { return c.follower.FollowLog(ctx, b.platform, b.needsLog) })
	for range relayCount {
		attempts := 0
		run(func() error {
			return c.follower.FollowPeers(ctx, c.peers, func() (mn.Member, bool) {
				attempts++
				return b.pickPeer(ctx, attempts)
			})
		})
	}
	run(func() error { return c.monitor.Run(ctx) })
	run(func() error { return c.guard.Run(ctx) })
	snapshots := feed.NewSnapshotWriter(b.controlState, c.writer, b.clock, c.follower.FirstOffset, c.monitor.Establish)
	run(func() error { return snapshots.Run(ctx, b.holdsControl) })
	defer c.probes.Close()
	return g.Wait()
}

// holdsControl reports whether this process holds the control lease according to its view.
func (b *base) holdsControl() bool {
	h := b.controlState.View().Lease
	return h.Holder == b.self.VM && h.Incarnation == b.self.Incarnation
}

// needsLog reports whether the process should read the log itself.
func (b *base) needsLog() bool {
	return b.config.follower.ActiveRelays() == 0 || b.config.monitor.ShouldReadLog()
}

// pickPeer returns a peer from which to relay: an entry, in every anyPeerEvery-th attempt
// any member, and with an empty roster one of listedPeers.
func (b *base) pickPeer(ctx context.Context, attempt int) (mn.Member, bool) {
	v := b.controlState.View()
	var entries, all []mn.Member
	for _, m := range v.Roster {
		if m.VM == b.self.VM {
			continue
		}
		all = append(all, m)
		if m.Role == mn.RoleEntry && !v.IsLeaving(m) {
			entries = append(entries, m)
		}
	}
	if len(entries) > 0 && attempt%anyPeerEvery != 0 {
		return entries[rand.IntN(len(entries))], true
	}
	if len(all) == 0 {
		all = b.listedPeers(ctx)
	}
	if len(all) == 0 {
		return mn.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

// listedPeers returns the peers in the settings and in the platform's list of VMs.
func (b *base) listedPeers(ctx context.Context) []mn.Member {
	var all []mn.Member
	for _, a := range b.settings.EntryAddrs {
		if a != b.self.Addr {
			all = append(all, mn.Member{Addr: a})
		}
	}
	vms, err := b.platform.ListVMs(ctx)
	if err != nil {
		b.warn("vm_list_failed", err)
	}
	for _, v := range vms {
		if v.ID != b.self.VM {
			all = append(all, mn.Member{VM: v.ID, Addr: v.Addr})
		}
	}
	return all
}

// becomeReady joins the roster and returns once the process may serve: when it is current
// and has joined, or when it is current and joinTimeout has passed. The latter occurs if
// the log is down while a majority of peers answers; joining then continues in g.
func (b *base) becomeReady(ctx context.Context, g *errgroup.Group) error {
	joined := make(chan struct{})
	g.Go(func() error {
		defer close(joined)
		return b.join(ctx)
	})
	readyWithoutJoin := b.clock.Now() + joinTimeout
	for ctx.Err() == nil {
		current := b.config.monitor.CheckCurrent() == nil
		select {
		case <-joined:
			if current {
				return nil
			}
		default:
			if current && b.clock.Now() >= readyWithoutJoin {
				return nil
			}
		}
		b.awaitChange(ctx, 50*mn.Millisecond)
	}
	return nil
}

// publishMetrics publishes the metrics of the configuration and of freshness.
func (b *base) publishMetrics() {
	publishInt("config_offset", func() int64 { return int64(b.controlState.View().Offset) })
	publishInt("config_established", func() int64 { return int64(b.config.monitor.Established()) })
	publishInt("evidence_age_ms", func() int64 {
		age, _ := b.config.monitor.EvidenceAge()
		return int64(age)
	})
	publishInt("sessions_open", func() int64 {
		open, _ := b.config.guard.Sessions()
		return open
	})
	publishInt("sessions_cut", func() int64 {
		_, ended := b.config.guard.Sessions()
		return ended
	})
}

// publishInt publishes a metric. It does nothing if the name is in use already, since
// expvar would panic.
func publishInt(name string, f func() int64) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(func() any { return f() }))
	}
}

// operatorHandler returns the handler of the service Operator.
func (b *base) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(oper.New(oper.Config{
		VM:           b.self.VM,
		Incarnation:  b.self.Incarnation,
		Clock:        b.clock,
		ControlState: b.controlState,
		Monitor:      b.config.monitor,
		Writer:       b.config.writer,
		StatusClient: b.config.peers,
		Token:        b.settings.OperatorToken,
	}).Handler())
	return mux
}

// status returns the load and state of the endpoint for operators.
func (q *endpointQueue) status() *meshpb.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &meshpb.Status{
		Running:       int64(len(q.jobs)),
		Waiting:       q.load.Waiting,
		EngineRole:    string(q.state.Role),
		EngineVersion: q.state.Version,
	}
}
