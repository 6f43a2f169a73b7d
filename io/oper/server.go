package oper

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/feed"
	"mustardnotch/core/fresh"
	"mustardnotch/gen/apipb"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/caller"
)

const (
	// changeTimeout limits appending a change and waiting until it is established.
	changeTimeout = 5 * mn.Second
	keyPrefix     = "mn_"
	keyBytes      = 24
)

// StatusClient requests the state of a process.
type StatusClient interface {
	Status(ctx context.Context, to mn.Member, req fresh.ProbeRequest) (*meshpb.HearReply, error)
}

// Config holds the dependencies of a [Server].
type Config struct {
	VM           mn.VMID
	Incarnation  mn.Incarnation
	Clock        mn.Clock
	ControlState *conf.StateMachine
	Monitor      *fresh.Monitor
	Writer       *feed.Writer
	StatusClient StatusClient
	// Token is the bearer token of operators.
	Token string
}

// Server implements the Connect service Operator.
type Server struct {
	Config
}

// New returns a server with the dependencies in c.
func New(c Config) *Server { return &Server{Config: c} }

// Handler returns the path and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return apipb.NewOperatorHandler(s)
}

func (s *Server) authorize(h http.Header) error {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
		return mn.Errorf(mn.Unauthenticated, "header authorization: want \"Bearer TOKEN\" with the operators' token")
	}
	return nil
}

// Apply implements the service.
func (s *Server) Apply(ctx context.Context, req *connect.Request[apipb.ApplyRequest]) (*connect.Response[apipb.ApplyResponse], error) {
	if err := s.authorize(req.Header()); err != nil {
		return nil, caller.ToConnect(err)
	}
	c, err := parseChange(req.Msg.Edits)
	if err != nil {
		return nil, caller.ToConnect(err)
	}
	if err := s.awaitBases(ctx, c); err != nil {
		return nil, caller.ToConnect(err)
	}
	if req.Msg.DryRun {
		return s.dryRun(c)
	}
	resp, err := s.applyChange(ctx, c)
	if err != nil {
		return nil, caller.ToConnect(err)
	}
	return connect.NewResponse(resp), nil
}

// awaitBases waits until this process has applied the versions on which c is based. The
// operator may have read them at another entry.
func (s *Server) awaitBases(ctx context.Context, c mn.Change) error {
	var newest mn.Offset
	for _, e := range c.Edits {
		newest = max(newest, e.Base)
	}
	return fresh.AwaitOffset(ctx, s.ControlState, newest)
}

func (s *Server) dryRun(c mn.Change) (*connect.Response[apipb.ApplyResponse], error) {
	v := s.ControlState.View()
	if err := conf.CheckChange(v, &c); err != nil {
		return nil, caller.ToConnect(err)
	}
	return connect.NewResponse(&apipb.ApplyResponse{Offset: int64(v.Offset), Changes: conf.DescribeChange(v, c)}), nil
}

// parseChange decodes edits and checks the resources that they set.
func parseChange(edits [][]byte) (mn.Change, error) {
	var c mn.Change
	for i, data := range edits {
		var e mn.Edit
		if err := json.Unmarshal(data, &e); err != nil {
			return c, mn.Errorf(mn.BadResource, "edit %d: %w", i+1, err)
		}
		if e.Set != nil {
			if err := conf.CheckResource(*e.Set); err != nil {
				return c, err
			}
		}
		c.Edits = append(c.Edits, e)
	}
	return c, nil
}

// applyChange appends c and returns once this process has applied it. If c removes
// something according to [conf.Removes], it also waits until c is established.
func (s *Server) applyChange(ctx context.Context, c mn.Change) (*apipb.ApplyResponse, error) {
	if len(c.Edits) == 0 {
		return &apipb.ApplyResponse{Offset: int64(s.ControlState.View().Offset), Established: true}, nil
	}
	before := s.ControlState.View()
	if err := conf.CheckChange(before, &c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout.Duration())
	defer cancel()
	r := mn.Record{Change: &c}
	v, err := s.Writer.Append(ctx, r)
	if err != nil {
		return nil, err
	}
	if v.Err != nil {
		return nil, v.Err
	}
	resp := &apipb.ApplyResponse{Offset: int64(v.Offset), Changes: conf.DescribeChange(before, c)}
	if !conf.Removes(&r) {
		return resp, nil
	}
	if err := s.Monitor.Establish(ctx, v.Offset); err != nil {
		return nil, err
	}
	resp.Established = true
	return resp, nil
}

// Get implements the service.
func (s *Server) Get(_ context.Context, req *connect.Request[apipb.GetRequest]) (*connect.Response[apipb.GetResponse], error) {
	if err := s.authorize(req.Header()); err != nil {
		return nil, caller.ToConnect(err)
	}
	v := s.ControlState.View()
	resp := &apipb.GetResponse{Offset: int64(v.Offset)}
	for _, r := range conf.SortedResources(v) {
		n := r.Resource.Name()
		if req.Msg.Kind != "" && string(n.Kind) != req.Msg.Kind || req.Msg.Name != "" && n.Name != req.Msg.Name {
			continue
		}
		data, err := json.Marshal(r)
		if err != nil {
			return nil, caller.ToConnect(err)
		}
		resp.Resources = append(resp.Resources, data)
	}
	return connect.NewResponse(resp), nil
}

// IssueKey implements the service.
func (s *Server) IssueKey(ctx context.Context, req *connect.Request[apipb.IssueKeyRequest]) (*connect.Response[apipb.IssueKeyResponse], error) {
	if err := s.authorize(req.Header()); err != nil {
		return nil, caller.ToConnect(err)
	}
	key := newKey()
	r := mn.Resource{Key: &mn.Key{Name: req.Msg.Name, Hash: mn.HashKey(key), Customer: mn.CustomerID(req.Msg.Customer)}}
	if err := conf.CheckResource(r); err != nil {
		return nil, caller.ToConnect(err)
	}
	resp, err := s.applyChange(ctx, mn.Change{Edits: []mn.Edit{{Name: r.Name(), Set: &r}}})
	if err != nil {
		return nil, caller.ToConnect(err)
	}
	return connect.NewResponse(&apipb.IssueKeyResponse{Key: key, Offset: resp.Offset}), nil
}

func newKey() string {
	b := make([]byte, keyBytes)
	// rand.Read of crypto/rand never fails.
	_, _ = rand.Read(b)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// WithdrawKey implements the service. For a key that is withdrawn already, it waits until
// the withdrawal is established.
func (s *Server) WithdrawKey(ctx context.Context, req *connect.Request[apipb.WithdrawKeyRequest]) (*connect.Response[apipb.ApplyResponse], error) {
	if err := s.authorize(req.Header()); err != nil {
		return nil, caller.ToConnect(err)
	}
	resp, err := s.withdraw(ctx, req.Msg.Name)
	if err != nil {
		return nil, caller.ToConnect(err)
	}
	return connect.NewResponse(resp), nil
}

func (s *Server) withdraw(ctx context.Context, name string) (*apipb.ApplyResponse, error) {
	n := mn.ResourceName{Kind: mn.KindKey, Name: name}
	have, ok := s.ControlState.View().Resources[n]
	if !ok {
		return nil, mn.Errorf(mn.BadResource, "%s is not declared", n)
	}
	key := *have.Resource.Key
	if key.Withdrawn {
		return s.confirmWithdrawal(ctx, have.Version)
	}
	key.Withdrawn = true
	return s.applyChange(ctx, mn.Change{Edits: []mn.Edit{{Name: n, Base: have.Version, Set: &mn.Resource{Key: &key}}}})
}

// confirmWithdrawal waits until the withdrawal at offset off is established.
func (s *Server) confirmWithdrawal(ctx context.Context, off mn.Offset) (*apipb.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout.Duration())
	defer cancel()
	if err := s.Monitor.Establish(ctx, off); err != nil {
		return nil, err
	}
	return &apipb.ApplyResponse{Offset: int64(off), Established: true}, nil
}
