package entry

import (
	"context"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// Pause implements [mn.AdmissionControl]. Submit counts a request as running before it
// checks whether the server is paused, so no request starts after the pause once Running
// has returned 0.
func (s *Server) Pause() { s.paused.Store(true) }

// Resume implements [mn.AdmissionControl].
func (s *Server) Resume() { s.paused.Store(false) }

// Running implements [mn.AdmissionControl].
func (s *Server) Running() int64 { return s.running.Load() }

func (s *Server) gate() (mn.OrderReceiver, error) {
	if s.Gate == nil {
		return nil, mn.Errorf(mn.BadRequest, "endpoint of pool %q accepts no orders", s.Pool)
	}
	return s.Gate, nil
}

// Stamp returns a stamp for an order, with the state of the engine.
func (s *Server) Stamp(ctx context.Context, r *meshpb.StampRequest) (*meshpb.StampReply, error) {
	g, err := s.gate()
	if err != nil {
		return &meshpb.StampReply{Failure: wire.EncodeError(err)}, nil
	}
	a, err := g.Stamp(ctx, mn.Term(r.Term))
	if err != nil {
		return &meshpb.StampReply{Failure: wire.EncodeError(err)}, nil
	}
	return &meshpb.StampReply{
		Stamp:       int64(a.Stamp),
		Incarnation: string(a.Incarnation),
		Term:        int64(a.Term),
		Role:        string(a.State.Role),
		Model:       string(a.State.Model),
		Version:     a.State.Version,
		Changing:    a.State.Changing,
		Fence:       a.State.FencingToken,
		Busy:        a.Busy,
		Held:        a.Paused,
		Running:     a.Running,
	}, nil
}

// Order carries out an order at the engine or rejects it.
func (s *Server) Order(ctx context.Context, r *meshpb.OrderRequest) (*meshpb.OrderReply, error) {
	g, err := s.gate()
	if err != nil {
		return &meshpb.OrderReply{Failure: wire.EncodeError(err)}, nil
	}
	err = g.Order(ctx, mn.Order{
		Term:        mn.Term(r.Term),
		Sequence:    mn.Sequence(r.Sequence),
		Stamp:       mn.Millis(r.Stamp),
		TTL:         mn.Millis(r.LifeMs),
		Incarnation: mn.Incarnation(r.Incarnation),
		Target: mn.EngineTarget{
			Role:    mn.EngineRole(r.Role),
			Model:   mn.ModelID(r.Model),
			Version: r.Version,
		},
		PauseOnly: r.Prepare,
	})
	return &meshpb.OrderReply{Failure: wire.EncodeError(err)}, nil
}
