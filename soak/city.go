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
	dataCentre  = "dc-1"
	modelPool   = "model"
	plainPool   = "plain"
	host        = "soak.example"
	hotCustomer = mn.CustomerID("hot")
	// hotRate is a fifth of what the hot customer sends; the others are far within
	// customerRate, in tokens a second.
	hotRate, customerRate = 20_000.0, 400_000.0
	beatEvery             = 1200 * time.Millisecond
	// storePort, callersPort and the others are ports on the VMs' addresses.
	storePort, callersPort, readyPort, workPort, peerPort = 8361, 8360, 8365, 8080, 7500
)

// bounds are the platform's bounds, as the checks know them.
var bounds = stand.Bounds{
	Revoke: revokeBound, Drain: drainBound, HolderLease: holderApart, Grace: 6 * mn.Second, QuotaWindow: quotaWindow,
	UsageWindow: 2 * mn.Second, UsageLate: 10 * mn.Second, QuotaOver: quotaOver, QuotaSlack: quotaSlack,
	RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * mn.Second,
}

// front is one front with its link to the store.
type front struct {
	name     string
	ip       string
	settings string
	store    *procs.Link
	proc     *procs.Proc
	paused   bool
}

// endpoint is one run of an endpoint behind a link.
type endpoint struct {
	*stand.Endpoint
	entry  mn.Endpoint
	link   *procs.Link
	server *http.Server
}

// city is the system and its stand-ins.
type city struct {
	o      Options
	clock  mn.Clock
	rand   *rand.Rand
	subnet string
	store  *stand.Store
	duties *stand.Duties
	fronts []*front
	// servers are the listeners of the store and the duties.
	servers []net.Listener

	mu        sync.Mutex
	history   History
	endpoints map[mn.EndpointID]*endpoint
	hosts     int
	version   int64
	routes    int
	keys      map[mn.CustomerID][]string
}

func newCity(o Options) (*city, error) {
	c := &city{
		o: o, clock: mn.NewSystemClock(), rand: rand.New(rand.NewPCG(uint64(o.Seed), 1)),
		store: stand.NewStore(), duties: &stand.Duties{}, endpoints: map[mn.EndpointID]*endpoint{},
		history: History{LeavingSince: map[mn.EndpointID]mn.Millis{}, RevokedAt: map[string]mn.Millis{}, Rates: map[mn.CustomerID]float64{}},
		keys:    map[mn.CustomerID][]string{},
		// Soaks that run at the same time need addresses of their own.
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

func (c *city) ip(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n) }

// start starts the stand-ins and the fronts, and waits until they are ready.
func (c *city) start(ctx context.Context) error {
	if err := c.serve(c.ip(1), c.store, storePort); err != nil {
		return err
	}
	if err := c.serve(c.ip(2), c.duties.Handler(c.clock), storePort); err != nil {
		return err
	}
	if err := c.configure(); err != nil {
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
	for n := range c.o.Fronts {
		if err := c.addFront(n); err != nil {
			return err
		}
	}
	for _, f := range c.fronts {
		if err := c.await(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

func (c *city) serve(ip string, h http.Handler, port int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	c.servers = append(c.servers, l)
	go func() {
		if err := http.Serve(l, h); !errors.Is(err, net.ErrClosed) {
			fmt.Fprintln(os.Stderr, "soak: stand-in:", err)
		}
	}()
	return nil
}

func (c *city) addFront(n int) error {
	f := &front{name: fmt.Sprintf("front-%d", n+1), ip: c.ip(10 + n)}
	storeAddr := fmt.Sprintf("%s:%d", c.ip(60+n), storePort)
	var err error
	if f.store, err = procs.NewLink(storeAddr, fmt.Sprintf("%s:%d", c.ip(1), storePort)); err != nil {
		return err
	}
	settings := stand.Settings(mn.VMID(f.name), dataCentre, f.ip, callersPort, readyPort, peerPort, storeAddr,
		fmt.Sprintf("%s:%d", c.ip(2), storePort), bounds)
	f.settings = filepath.Join(c.o.Dir, f.name+".conf")
	if err := os.WriteFile(f.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	c.fronts = append(c.fronts, f)
	return c.launch(f)
}

func (c *city) launch(f *front) error {
	p, err := procs.Start(c.o.Dir, f.name, filepath.Join(c.o.Bin, "mustardnotch"), "front", "--settings", f.settings)
	f.proc = p
	return err
}

func (c *city) await(ctx context.Context, f *front) error {
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
	return fmt.Errorf("%s is not ready: %s", f.name, f.proc.Tail(500))
}

// addEndpoint starts a new run of an endpoint and enters it into the list.
func (c *city) addEndpoint(pool mn.PoolID, role mn.EngineRole, capacity int64, work mn.Millis) error {
	c.mu.Lock()
	c.hosts++
	n := c.hosts
	c.mu.Unlock()
	id := mn.EndpointID(fmt.Sprintf("i-%d", n))
	e := &endpoint{
		Endpoint: &stand.Endpoint{ID: id, Role: role, Capacity: capacity, ServiceTime: work, Clock: c.clock, OnRun: c.ran},
		entry: mn.Endpoint{ID: id, StartedAt: c.clock.Wall(), Pool: pool, Addr: fmt.Sprintf("%s:%d", c.ip(100+n%150), workPort),
			DataCentre: dataCentre, Capacity: capacity, State: mn.EndpointReady, Role: role},
	}
	l, err := net.Listen("tcp", c.ip(100+n%150)+":0")
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e.Endpoint}
	go func() { _ = e.server.Serve(l) }() // It ends when the endpoint does.
	if e.link, err = procs.NewLink(e.entry.Addr, l.Addr().String()); err != nil {
		return err
	}
	c.mu.Lock()
	c.endpoints[id] = e
	c.mu.Unlock()
	return c.beat(e)
}

func (c *city) ran(r stand.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Runs = append(c.history.Runs, r)
}

// beat writes an endpoint's entry.
func (c *city) beat(e *endpoint) error {
	c.mu.Lock()
	e.entry.Heartbeat++
	entry := e.entry
	c.mu.Unlock()
	return c.store.WriteEndpoint(entry)
}

// beats writes the entries of living endpoints until ctx is done.
func (c *city) beats(ctx context.Context) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		all := make([]*endpoint, 0, len(c.endpoints))
		for _, e := range c.endpoints {
			all = append(all, e)
		}
		c.mu.Unlock()
		for _, e := range all {
			if err := c.beat(e); err != nil {
				return err
			}
		}
		_ = c.clock.Sleep(ctx, mn.MillisOf(beatEvery)) // The loop looks at ctx.
	}
	return nil
}

// remove ends an endpoint, at once or after it has left.
func (c *city) remove(ctx context.Context, e *endpoint, leaves bool) error {
	if leaves {
		c.mu.Lock()
		e.entry.State = mn.EndpointLeaving
		c.mu.Unlock()
		if err := c.beat(e); err != nil {
			return err
		}
		c.mu.Lock()
		c.history.LeavingSince[e.ID] = c.clock.Now()
		c.mu.Unlock()
		_ = c.clock.Sleep(ctx, drainBound+1500) // A soak that ends takes the endpoint along.
	}
	c.mu.Lock()
	delete(c.endpoints, e.ID)
	c.mu.Unlock()
	e.server.Close()
	e.link.Close()
	if !leaves {
		_ = c.clock.Sleep(ctx, 3*mn.MillisOf(beatEvery)) // As above.
	}
	return c.store.DropEndpoint(e.ID)
}

// configure writes the next configuration.
func (c *city) configure() error {
	c.mu.Lock()
	c.version += 1 + c.rand.Int64N(3)
	version := c.version
	route := func(name string, kind mn.RouteKind, pool mn.PoolID, timeout mn.Millis, attempts int, resumable bool) mn.Route {
		return mn.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Shares: []mn.PoolShare{{Pool: pool}},
			Timeout: timeout, LatencyGoal: timeout / 4, Attempts: attempts, Resumable: resumable}
	}
	routes := []mn.Route{
		route("look", mn.RouteIdempotent, plainPool, 1000, 2, false), route("book", mn.RouteAtMostOnce, plainPool, 1000, 1, false),
		route("say", mn.RouteStream, modelPool, 3000, 2, true), route("tell", mn.RouteStream, modelPool, 3000, 1, false),
	}
	for n := range c.routes {
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

func (c *city) stop() {
	for _, f := range c.fronts {
		if f.proc != nil && f.proc.Running() {
			f.proc.Kill()
		}
		f.store.Close()
	}
	for _, l := range c.servers {
		l.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		e.server.Close()
		e.link.Close()
	}
}
