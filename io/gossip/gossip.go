// Package gossip exchanges state between peer fronts.
package gossip

import (
	"context"

	"github.com/google/uuid"
	"storj.io/drpc"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// fullExchangeInterval is the time between two exchanges with a peer in which a
// front sends its full state. A full state repairs what the peer may have lost, and
// is small compared with the other traffic.
const fullExchangeInterval = 10 * mn.Second

// Host is the front that exchanges its state.
type Host interface {
	// State returns the front's state to the extent of scope. For [mn.ScopeChanges]
	// it includes what has changed since c. It advances c.
	State(c *Cursor, scope mn.StateScope) mn.FrontState
	// ReceiveState applies a peer's state. The parameter sent is when this front
	// asked for the state, or 0 if the peer sent it by itself.
	ReceiveState(f mn.FrontState, sent mn.Millis)
	// CatalogItem returns the newest catalog item. Its key is empty if there is none.
	CatalogItem() mn.Item
	// Endpoints returns the list of endpoints and the age of the evidence that it is
	// the newest. The age is negative if there is no list.
	Endpoints() ([]mn.Endpoint, mn.Millis)
	// CachedPrompts returns the prompts that the front believes engines to have
	// cached.
	CachedPrompts() []mn.PrefilledPrompt
}

// Server answers peer fronts.
type Server struct {
	meshpb.DRPCFrontsUnimplementedServer
	host Host
}

// NewServer returns a server that serves host's state.
func NewServer(host Host) *Server { return &Server{host: host} }

// Register adds the Fronts service to mux.
func (s *Server) Register(mux drpc.Mux) error { return meshpb.DRPCRegisterFronts(mux, s) }

// Exchange implements the Fronts service. It returns the full state to a peer that
// sent its own in full, and otherwise a state without the front's work: every front
// sends its changes in exchanges that it starts itself.
func (s *Server) Exchange(_ context.Context, in *meshpb.FrontFacts) (*meshpb.FrontFacts, error) {
	s.host.ReceiveState(decode(in), 0)
	scope := mn.ScopeNone
	if mn.StateScope(in.Scope) == mn.ScopeAll {
		scope = mn.ScopeAll
	}
	state := s.host.State(&Cursor{Peer: mn.VMID(in.Vm)}, scope)
	return encode(withoutAddr(state)), nil
}

// withoutAddr leaves out of a state what a recipient knows that has called the front, or got its
// full state before.
func withoutAddr(f mn.FrontState) mn.FrontState {
	f.Addr, f.DataCentre = "", ""
	return f
}

// Catalog implements the Fronts service.
func (s *Server) Catalog(_ context.Context, in *meshpb.CatalogRequest) (*meshpb.CatalogReply, error) {
	i := s.host.CatalogItem()
	if in.MaxBytes > 0 && int64(len(i.Value)) > in.MaxBytes {
		i.Value = nil
	}
	return &meshpb.CatalogReply{Offset: int64(i.Offset), Key: i.Key, Value: i.Value}, nil
}

// Endpoints implements the Fronts service.
func (s *Server) Endpoints(context.Context, *meshpb.EndpointsRequest) (*meshpb.EndpointsReply, error) {
	list, age := s.host.Endpoints()
	reply := &meshpb.EndpointsReply{AgeMs: int64(age)}
	for _, e := range list {
		reply.Endpoints = append(reply.Endpoints, &meshpb.EndpointEntry{
			Id: string(e.ID), BornMs: int64(e.StartedAt), Pool: string(e.Pool), Addr: e.Addr, DataCentre: string(e.DataCentre),
			Capacity: e.Capacity, State: string(e.State), Role: string(e.Role), Changing: e.Changing, Lapsed: e.Unlisted, ColdMs: int64(e.ColdLeft),
		})
	}
	return reply, nil
}

// Kept implements the Fronts service.
func (s *Server) Kept(context.Context, *meshpb.KeptRequest) (*meshpb.KeptReply, error) {
	return &meshpb.KeptReply{Reads: encodePrompts(s.host.CachedPrompts())}, nil
}

// Client sends requests to peer fronts.
type Client struct {
	host  Host
	clock mn.Clock
	conns *wire.ConnPool
}

// NewClient returns a client that sends host's state, from the IP address of local.
func NewClient(host Host, clock mn.Clock, local string) *Client {
	return &Client{host: host, clock: clock, conns: wire.NewProbePool(local)}
}

// Exchange sends what has changed since cursor to the peer, and applies the state that
// the peer returns. It sends the full state if the peer may have lost what was sent
// before.
func (c *Client) Exchange(ctx context.Context, p mn.Front, cursor *Cursor) error {
	sent, scope := c.clock.Now(), mn.ScopeChanges
	if !cursor.synced || sent-cursor.fullExchangeAt >= fullExchangeInterval {
		*cursor = Cursor{fullExchangeAt: sent, peerIncarnation: cursor.peerIncarnation}
		scope = mn.ScopeAll
	}
	cursor.Peer = p.VM
	out := c.host.State(cursor, scope)
	if scope == mn.ScopeChanges {
		out = withoutAddr(out)
	}
	reply, err := meshpb.NewDRPCFrontsClient(c.conns.Get(ctx, p.Addr)).Exchange(ctx, encode(out))
	if err != nil {
		cursor.synced = false
		c.conns.Drop(p.Addr)
		return err
	}
	state := decodeAnswer(reply, p)
	cursor.synced = scope == mn.ScopeAll || state.Incarnation == cursor.peerIncarnation
	cursor.peerIncarnation = state.Incarnation
	c.host.ReceiveState(state, sent)
	return nil
}

// Ask applies the state of the peer, without its work. It sends nothing of this front's
// work.
func (c *Client) Ask(ctx context.Context, p mn.Front) error {
	sent := c.clock.Now()
	reply, err := meshpb.NewDRPCFrontsClient(c.conns.Get(ctx, p.Addr)).Exchange(ctx, encode(c.host.State(&Cursor{Peer: p.VM}, mn.ScopeNone)))
	if err != nil {
		return err
	}
	c.host.ReceiveState(decodeAnswer(reply, p), sent)
	return nil
}

// decodeAnswer decodes the answer of a peer.
func decodeAnswer(reply *meshpb.FrontFacts, p mn.Front) mn.FrontState {
	state := decode(reply)
	state.Addr, state.DataCentre = p.Addr, p.DataCentre
	return state
}

// Catalog returns the newest catalog item of the peer at addr. Its value is empty if it
// is longer than maxBytes, unless maxBytes is 0.
func (c *Client) Catalog(ctx context.Context, addr string, maxBytes int64) (mn.Item, error) {
	r, err := meshpb.NewDRPCFrontsClient(c.conns.Get(ctx, addr)).Catalog(ctx, &meshpb.CatalogRequest{MaxBytes: maxBytes})
	if err != nil {
		return mn.Item{}, err
	}
	return mn.Item{Key: r.Key, Value: r.Value, Offset: mn.Offset(r.Offset)}, nil
}

// Endpoints returns the list of endpoints of the peer at addr, and the time, by
// this front's clock, at which it was known to be the newest. If the peer has no
// list, ok is false.
func (c *Client) Endpoints(ctx context.Context, addr string) (list []mn.Endpoint, at mn.Millis, ok bool, err error) {
	sent := c.clock.Now()
	r, err := meshpb.NewDRPCFrontsClient(c.conns.Get(ctx, addr)).Endpoints(ctx, &meshpb.EndpointsRequest{})
	if err != nil || r.AgeMs < 0 {
		return nil, 0, false, err
	}
	for _, e := range r.Endpoints {
		list = append(list, mn.Endpoint{
			ID: mn.EndpointID(e.Id), StartedAt: mn.Millis(e.BornMs), Pool: mn.PoolID(e.Pool), Addr: e.Addr,
			DataCentre: mn.DataCentre(e.DataCentre), Capacity: e.Capacity, State: mn.EndpointState(e.State),
			Role: mn.EngineRole(e.Role), Changing: e.Changing, Unlisted: e.Lapsed, ColdLeft: mn.Millis(e.ColdMs),
		})
	}
	return list, sent - mn.Millis(r.AgeMs), true, nil
}

// CachedPrompts returns the prompts that the peer at addr believes engines to have
// cached.
func (c *Client) CachedPrompts(ctx context.Context, addr string) ([]mn.PrefilledPrompt, error) {
	r, err := meshpb.NewDRPCFrontsClient(c.conns.Get(ctx, addr)).Kept(ctx, &meshpb.KeptRequest{})
	if err != nil {
		return nil, err
	}
	return decodePrompts(r.Reads), nil
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.conns.Close() }

func encode(f mn.FrontState) *meshpb.FrontFacts {
	out := &meshpb.FrontFacts{
		Vm: string(f.VM), Incarnation: encodeIncarnation(f.Incarnation), UpMs: int64(f.Uptime),
		CatalogOffset: int64(f.CatalogOffset), CatalogAgeMs: int64(f.CatalogAge),
		Scope: int64(f.Scope), Addr: f.Addr, DataCentre: string(f.DataCentre),
		List: f.ListFingerprint, ListAgeMs: int64(f.ListAge), DutyNext: int64(f.DutyNext), EvacuatedNext: int64(f.EvacuatedNext),
		HasRuns: f.HasRuns, WantsRuns: f.WantsRuns,
	}
	for _, dc := range f.Evacuated {
		out.Evacuated = append(out.Evacuated, string(dc))
	}
	for _, u := range f.Loads {
		out.Uses = append(out.Uses, &meshpb.EndpointUse{
			Endpoint: string(u.Endpoint), Requests: u.Requests, PrefillMs: int64(u.PrefillTime)})
	}
	for c, v := range f.Spent {
		out.Spent = append(out.Spent, &meshpb.Spent{Customer: string(c), Amount: v})
	}
	for _, r := range f.Runs {
		out.Runs = append(out.Runs, &meshpb.RunCount{Window: r.Window, Customer: string(r.Customer), Count: r.Count})
	}
	for _, p := range f.Crashes {
		out.Crashes = append(out.Crashes, &meshpb.FrontCrash{Fingerprint: p.Fingerprint, Endpoint: string(p.VM), WallMs: int64(p.SeenAt)})
	}
	for _, c := range f.EngineCrashes {
		out.EngineCrashes = append(out.EngineCrashes, &meshpb.EngineCrash{Endpoint: string(c.Endpoint), AgeMs: int64(c.Age), Segments: c.Segments, Tried: c.Tried})
	}
	for _, c := range f.ClearedSegments {
		out.ClearedSegments = append(out.ClearedSegments, &meshpb.ClearedSegment{Segment: c.Segment, AgeMs: int64(c.Age)})
	}
	out.Reads = encodePrompts(f.PrefilledPrompts)
	for _, e := range f.Timings {
		m := &meshpb.EngineTimings{Pool: string(e.Pool)}
		for _, v := range e.Sums {
			m.Sums = append(m.Sums, float32(v))
		}
		out.Timings = append(out.Timings, m)
	}
	for _, s := range f.Speeds {
		out.Speeds = append(out.Speeds, &meshpb.EngineSpeed{Endpoint: string(s.Endpoint), Counts: s.Counts, Pace: s.Pace})
	}
	return out
}

// encodeIncarnation returns an incarnation in as few bytes as it takes.
func encodeIncarnation(i mn.Incarnation) []byte {
	if id, err := uuid.Parse(string(i)); err == nil && id.String() == string(i) {
		return id[:]
	}
	return []byte(i)
}

func decodeIncarnation(b []byte) mn.Incarnation {
	if id, err := uuid.FromBytes(b); err == nil {
		return mn.Incarnation(id.String())
	}
	return mn.Incarnation(b)
}

func encodePrompts(prompts []mn.PrefilledPrompt) []*meshpb.PromptRead {
	var out []*meshpb.PromptRead
	for _, r := range prompts {
		m := &meshpb.PromptRead{Endpoint: string(r.Endpoint)}
		for _, p := range r.Segments {
			m.Parts = append(m.Parts, &meshpb.PromptPart{Id: p.ID, Tokens: p.Tokens})
		}
		out = append(out, m)
	}
	return out
}

func decodePrompts(in []*meshpb.PromptRead) []mn.PrefilledPrompt {
	var out []mn.PrefilledPrompt
	for _, r := range in {
		m := mn.PrefilledPrompt{Endpoint: mn.EndpointID(r.Endpoint)}
		for _, p := range r.Parts {
			m.Segments = append(m.Segments, mn.PromptSegment{ID: p.Id, Tokens: p.Tokens})
		}
		out = append(out, m)
	}
	return out
}

func decode(in *meshpb.FrontFacts) mn.FrontState {
	f := mn.FrontState{
		VM: mn.VMID(in.Vm), Incarnation: decodeIncarnation(in.Incarnation), Uptime: mn.Millis(in.UpMs),
		CatalogOffset: mn.Offset(in.CatalogOffset), CatalogAge: mn.Millis(in.CatalogAgeMs), Scope: mn.StateScope(in.Scope),
		Addr: in.Addr, DataCentre: mn.DataCentre(in.DataCentre), ListFingerprint: in.List, ListAge: mn.Millis(in.ListAgeMs),
		DutyNext:      mn.Offset(in.DutyNext),
		Spent:         make(map[mn.CustomerID]float64, len(in.Spent)),
		EvacuatedNext: mn.Offset(in.EvacuatedNext),
		HasRuns:       in.HasRuns,
		WantsRuns:     in.WantsRuns,
	}
	for _, dc := range in.Evacuated {
		f.Evacuated = append(f.Evacuated, mn.DataCentre(dc))
	}
	for _, u := range in.Uses {
		f.Loads = append(f.Loads, mn.EndpointLoad{
			Endpoint: mn.EndpointID(u.Endpoint), Requests: u.Requests, PrefillTime: mn.Millis(u.PrefillMs)})
	}
	for _, s := range in.Spent {
		f.Spent[mn.CustomerID(s.Customer)] = s.Amount
	}
	for _, r := range in.Runs {
		f.Runs = append(f.Runs, mn.RunCount{Window: r.Window, Customer: mn.CustomerID(r.Customer), Count: r.Count})
	}
	for _, p := range in.Crashes {
		f.Crashes = append(f.Crashes, mn.CrashRecord{Fingerprint: p.Fingerprint, VM: mn.VMID(p.Endpoint), SeenAt: mn.Millis(p.WallMs)})
	}
	for _, c := range in.EngineCrashes {
		f.EngineCrashes = append(f.EngineCrashes, mn.EngineCrash{Endpoint: mn.EndpointID(c.Endpoint), Age: mn.Millis(c.AgeMs), Segments: c.Segments, Tried: c.Tried})
	}
	for _, c := range in.ClearedSegments {
		f.ClearedSegments = append(f.ClearedSegments, mn.ClearedSegment{Segment: c.Segment, Age: mn.Millis(c.AgeMs)})
	}
	f.PrefilledPrompts = decodePrompts(in.Reads)
	for _, m := range in.Timings {
		e := mn.EngineTimings{Pool: mn.PoolID(m.Pool)}
		for _, v := range m.Sums {
			e.Sums = append(e.Sums, float64(v))
		}
		f.Timings = append(f.Timings, e)
	}
	for _, s := range in.Speeds {
		f.Speeds = append(f.Speeds, mn.EngineSpeed{Endpoint: mn.EndpointID(s.Endpoint), Counts: s.Counts, Pace: s.Pace})
	}
	return f
}
