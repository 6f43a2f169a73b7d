package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	mn "mustardnotch"
	"mustardnotch/platform/stand"
	"mustardnotch/procs"
)

const (
	dataCentre = "dc-1"
	// otherDataCentre has every second endpoint.
	otherDataCentre = "dc-2"
	modelPool       = "model"
	plainPool       = "plain"
	host            = "soak.example"
	hotCustomer     = mn.CustomerID("hot")
	// hotRate and customerRate are in tokens a second. hotRate is a fifth of what
	// the hot customer sends; the other customers stay far below customerRate.
	hotRate, customerRate = 20_000.0, 400_000.0
	heartbeatInterval     = 1200 * time.Millisecond
	// Every VM has its own address, so all VMs use the same ports.
	storePort, callerPort, readyPort, endpointPort, peerPort = 8361, 8360, 8365, 8080, 7500
)

// platformBounds are the bounds in the fronts' settings. The checks use the same
// constants.
var platformBounds = stand.Bounds{
	RevokeWithin: revokeBound, DrainWithin: drainBound, DutyLease: dutyLease, GracePeriod: 6 * mn.Second, QuotaWindow: quotaWindow,
	UsageWindow: 2 * mn.Second, UsageReportWithin: 10 * mn.Second, QuotaTolerance: quotaTolerance, QuotaSlack: quotaSlack,
	RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * mn.Second, MemoryMB: memoryMB,
}

// front is a front process with its link to the store.
type front struct {
	name         string
	ip           string
	settingsFile string
	storeLink    *procs.Link
	proc         *procs.Proc
	paused       bool
}

// endpoint is one incarnation of a stand-in endpoint, reached over a link.
type endpoint struct {
	*stand.Endpoint
	entry      mn.Endpoint
	link       *procs.Link
	httpServer *http.Server
}

// cluster is the system under test with its stand-ins.
type cluster struct {
	options Options
	clock   mn.Clock
	rand    *rand.Rand
	subnet  string
	store   *stand.Store
	duties  *stand.Duties
	fronts  []*front
	// listeners are those of the store and of the receiver of duty calls.
	listeners []net.Listener

	mu             sync.Mutex
	history        History
	endpoints      map[mn.EndpointID]*endpoint
	endpointsAdded int
	configVersion  int64
	extraRoutes    int
	// evacuated is the data centre that is evacuated, empty if none is.
	evacuated mn.DataCentre
	keys      map[mn.CustomerID][]string
}

func newCluster(o Options) (*cluster, error) {
	c := &cluster{
		options: o, clock: mn.NewSystemClock(), rand: rand.New(rand.NewPCG(uint64(o.Seed), 1)),
		store: stand.NewStore(), duties: &stand.Duties{}, endpoints: map[mn.EndpointID]*endpoint{},
		history: History{LeavingSince: map[mn.EndpointID]mn.Millis{}, RevokedAt: map[string]mn.Millis{}, Rates: map[mn.CustomerID]float64{}, UntoldCuts: map[mn.RequestID]bool{}, DataCentres: map[mn.EndpointID]mn.DataCentre{}, PeakMemory: map[string]int64{}},
		keys:    map[mn.CustomerID][]string{},
		// Concurrent soaks need separate subnets.
		subnet: fmt.Sprintf("127.%d.%d", 100+(os.Getpid()+int(o.Seed))%100, 1+(os.Getpid()/100+int(o.Seed))%250),
	}
	for _, id := range []mn.CustomerID{"a", "b", hotCustomer} {
		c.history.Rates[id] = customerRate
		if id == hotCustomer {
			c.history.Rates[id] = hotRate
		}
		for n := range 6 {
			c.keys[id] = append(c.keys[id], fmt.Sprintf("key-%s-%d", id, n))
		}
	}
	return c, nil
}

func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n) }

// start starts the stand-ins and the fronts, and waits until the fronts are ready.
func (c *cluster) start(ctx context.Context) error {
	if err := c.serveStandIn(c.ip(1), c.store, storePort); err != nil {
		return err
	}
	if err := c.serveStandIn(c.ip(2), c.duties.Handler(c.clock), storePort); err != nil {
		return err
	}
	if err := c.writeConfig(); err != nil {
		return err
	}
	for range 4 {
		if err := c.addEndpoint(plainPool, "", 6, 20); err != nil {
			return err
		}
	}
	for _, role := range []mn.EngineRole{mn.EnginePrefill, mn.EngineDecode, mn.EngineDecode, mn.EngineDecode} {
		if err := c.addEndpoint(modelPool, role, 48, 60); err != nil {
			return err
		}
	}
	for n := range c.options.Fronts {
		if err := c.addFront(n); err != nil {
			return err
		}
	}
	for _, f := range c.fronts {
		if err := c.awaitReady(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) serveStandIn(ip string, h http.Handler, port int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	c.listeners = append(c.listeners, l)
	go func() {
		if err := http.Serve(l, h); !errors.Is(err, net.ErrClosed) {
			fmt.Fprintln(os.Stderr, "soak: stand-in stopped serving:", err)
		}
	}()
	return nil
}

func (c *cluster) addFront(n int) error {
	f := &front{name: fmt.Sprintf("front-%d", n+1), ip: c.ip(10 + n)}
	storeAddr := fmt.Sprintf("%s:%d", c.ip(60+n), storePort)
	var err error
	if f.storeLink, err = procs.NewLink(storeAddr, fmt.Sprintf("%s:%d", c.ip(1), storePort)); err != nil {
		return err
	}
	settings := stand.Settings(mn.VMID(f.name), dataCentre, f.ip, callerPort, readyPort, peerPort, storeAddr,
		fmt.Sprintf("%s:%d", c.ip(2), storePort), platformBounds)
	f.settingsFile = filepath.Join(c.options.Dir, f.name+".conf")
	if err := os.WriteFile(f.settingsFile, []byte(settings), 0o600); err != nil {
		return err
	}
	c.fronts = append(c.fronts, f)
	return c.startFront(f)
}

// noteMemory adds the most memory that a front has taken to the history, if it still runs.
func (c *cluster) noteMemory(f *front) {
	peak, err := f.proc.PeakMemory()
	if err != nil {
		return // The process has ended.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.PeakMemory[f.name] = max(peak, c.history.PeakMemory[f.name])
}

func (c *cluster) startFront(f *front) error {
	p, err := procs.Start(c.options.Dir, f.name, filepath.Join(c.options.Bin, "mustardnotch"), "front", "--settings", f.settingsFile)
	f.proc = p
	return err
}

// serves reports whether a front accepts callers' connections.
func (c *cluster) serves(f *front) bool {
	conn, err := net.Dial("tcp", net.JoinHostPort(f.ip, fmt.Sprint(callerPort)))
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func (c *cluster) awaitReady(ctx context.Context, f *front) error {
	for range 300 {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/", f.ip, readyPort))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := c.clock.Sleep(ctx, 50); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s is not ready after 300 attempts: %s", f.name, f.proc.Tail(500))
}

// addEndpoint starts a new endpoint and adds it to the store's endpoint list.
func (c *cluster) addEndpoint(pool mn.PoolID, role mn.EngineRole, capacity int64, serviceTime mn.Millis) error {
	c.mu.Lock()
	c.endpointsAdded++
	n := c.endpointsAdded
	c.mu.Unlock()
	id := mn.EndpointID(fmt.Sprintf("i-%d", n))
	e := &endpoint{
		Endpoint: &stand.Endpoint{ID: id, Role: role, Capacity: capacity, ServiceTime: serviceTime, Clock: c.clock, OnRun: c.recordRun, OnArrival: c.recordArrival, OnUntoldCut: c.recordUntoldCut},
		entry: mn.Endpoint{ID: id, StartedAt: c.clock.Wall(), Pool: pool, Addr: fmt.Sprintf("%s:%d", c.ip(100+n%150), endpointPort),
			DataCentre: dataCentre, Capacity: capacity, State: mn.EndpointReady, Role: role},
	}
	if n%2 == 0 {
		e.entry.DataCentre = otherDataCentre
	}
	l, err := net.Listen("tcp", c.ip(100+n%150)+":0")
	if err != nil {
		return err
	}
	e.httpServer = &http.Server{Handler: e.Endpoint}
	go func() { _ = e.httpServer.Serve(l) }() // Serve returns when removeEndpoint or stop closes the server.
	if e.link, err = procs.NewLink(e.entry.Addr, l.Addr().String()); err != nil {
		return err
	}
	c.mu.Lock()
	c.endpoints[id] = e
	c.history.DataCentres[id] = e.entry.DataCentre
	c.mu.Unlock()
	return c.writeHeartbeat(e)
}

func (c *cluster) recordRun(r stand.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Runs = append(c.history.Runs, r)
}

func (c *cluster) recordArrival(a stand.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Arrivals = append(c.history.Arrivals, a)
}

func (c *cluster) recordUntoldCut(id mn.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.UntoldCuts[id] = true
}

// writeHeartbeat writes the entry of e with the next heartbeat number.
func (c *cluster) writeHeartbeat(e *endpoint) error {
	c.mu.Lock()
	e.entry.Heartbeat++
	entry := e.entry
	c.mu.Unlock()
	return c.store.WriteEndpoint(entry)
}

// runHeartbeats writes the entries of all running endpoints until ctx is done.
func (c *cluster) runHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		all := make([]*endpoint, 0, len(c.endpoints))
		for _, e := range c.endpoints {
			all = append(all, e)
		}
		c.mu.Unlock()
		for _, e := range all {
			if err := c.writeHeartbeat(e); err != nil {
				return err
			}
		}
		_ = c.clock.Sleep(ctx, mn.MillisOf(heartbeatInterval)) // The loop condition checks ctx.
	}
	return nil
}

// removeEndpoint stops an endpoint and removes its entry. If graceful, it first marks
// the endpoint as leaving and waits 1.5 s longer than the drain bound. Otherwise the
// entry stays for three heartbeat intervals, as it would after a crash.
func (c *cluster) removeEndpoint(ctx context.Context, e *endpoint, graceful bool) error {
	if graceful {
		e.Announce()
		c.mu.Lock()
		e.entry.State = mn.EndpointLeaving
		c.mu.Unlock()
		if err := c.writeHeartbeat(e); err != nil {
			return err
		}
		c.mu.Lock()
		c.history.LeavingSince[e.ID] = c.clock.Now()
		c.mu.Unlock()
		_ = c.clock.Sleep(ctx, drainBound+1500) // If the soak ends, the endpoint is removed at once.
	}
	c.mu.Lock()
	delete(c.endpoints, e.ID)
	c.mu.Unlock()
	e.httpServer.Close()
	e.link.Close()
	if !graceful {
		_ = c.clock.Sleep(ctx, 3*mn.MillisOf(heartbeatInterval)) // If the soak ends, the entry is removed at once.
	}
	return c.store.DropEndpoint(e.ID)
}

// writeConfig writes a configuration with a higher version, which may skip numbers.
func (c *cluster) writeConfig() error {
	c.mu.Lock()
	c.configVersion += 1 + c.rand.Int64N(3)
	version := c.configVersion
	route := func(name string, kind mn.RouteKind, pool mn.PoolID, timeout mn.Millis, attempts int, resumable bool) mn.Route {
		return mn.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Shares: []mn.PoolShare{{Pool: pool}},
			Timeout: timeout, LatencyGoal: timeout / 4, Attempts: attempts, Resumable: resumable}
	}
	routes := []mn.Route{
		route("look", mn.RouteIdempotent, plainPool, 1000, 2, false), route("book", mn.RouteAtMostOnce, plainPool, 1000, 1, false),
		route("say", mn.RouteStream, modelPool, 3000, 2, true), route("tell", mn.RouteStream, modelPool, 3000, 1, false),
	}
	for n := range c.extraRoutes {
		routes = append(routes, route(fmt.Sprintf("more-%d", n), mn.RouteIdempotent, plainPool, 1000, 2, false))
	}
	var customers []stand.Customer
	for id, keys := range c.keys {
		customers = append(customers, stand.Customer{ID: id, Keys: keys, Rate: c.history.Rates[id]})
	}
	c.mu.Unlock()
	return c.store.WriteConfig(version, routes, map[mn.PoolID]mn.PoolSpec{
		plainPool: {MaxConns: 200},
		modelPool: {MaxConns: 400, Engine: &mn.EngineSpec{Capacity: 48, KVTokens: 700_000, KVBytesPerToken: 100, LinkMbps: 10_000}},
	}, customers)
}

func (c *cluster) stop() {
	for _, f := range c.fronts {
		if f.proc != nil && f.proc.Running() {
			f.proc.Kill()
		}
		f.storeLink.Close()
	}
	for _, l := range c.listeners {
		l.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		e.httpServer.Close()
		e.link.Close()
	}
}
