package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"storj.io/drpc"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/fresh"
	"mustardnotch/gen/meshpb"
)

const (
	maxRelayRecords = 256
	// heartbeatInterval is the maximum time between batches of a relay.
	heartbeatInterval = 400 * time.Millisecond
)

// Lender lends parts of customers' rates.
type Lender interface {
	// Borrow grants the requested loan, part of it, or nothing.
	Borrow(ctx context.Context, in *meshpb.BorrowRequest) (*meshpb.BorrowReply, error)
}

// StatusFunc returns the state of the process for operators. The server sets Offset and
// Refusing.
type StatusFunc func() *meshpb.Status

// Server implements the drpc service Peer.
type Server struct {
	meshpb.DRPCPeerUnimplementedServer
	controlState *conf.StateMachine
	monitor      *fresh.Monitor
	status       StatusFunc
	lender       Lender
	onCrash      func(mn.CrashRecord)
	stop         <-chan struct{}
}

// NewServer returns a server for one process. Once stop is closed, it rejects probes and
// ends relays. Without a lender it lends nothing.
func NewServer(state *conf.StateMachine, monitor *fresh.Monitor, status StatusFunc, lender Lender, stop <-chan struct{}) *Server {
	return &Server{controlState: state, monitor: monitor, status: status, lender: lender, stop: stop}
}

// OnCrash sets the function that is called with each crash notice. It must be called
// before Register.
func (s *Server) OnCrash(f func(mn.CrashRecord)) { s.onCrash = f }

// Register adds the Peer service to mux.
func (s *Server) Register(mux drpc.Mux) error {
	return meshpb.DRPCRegisterPeer(mux, s)
}

// errLeft is what a process that is about to leave the roster replies to probes. Its
// peers rely on getting no more offsets from it once the control stream records that it
// has left.
var errLeft = errors.New("process has left the roster")

// Hear implements the Peer service.
func (s *Server) Hear(_ context.Context, in *meshpb.HearRequest) (*meshpb.HearReply, error) {
	select {
	case <-s.stop:
		return nil, errLeft
	default:
	}
	a := s.monitor.HandleProbe(fresh.ProbeRequest{
		VM:          mn.VMID(in.Vm),
		Incarnation: mn.Incarnation(in.Incarnation),
		Offset:      mn.Offset(in.Offset),
		Established: mn.Offset(in.Established),
	})
	reply := &meshpb.HearReply{
		Vm:          string(a.VM),
		Incarnation: string(a.Incarnation),
		Offset:      int64(a.Offset),
		Established: int64(a.Established),
		Current:     a.Current,
		AgeMs:       int64(a.Age),
	}
	if in.Status {
		reply.Status = s.Status()
	}
	return reply, nil
}

// Status returns the state of the process for operators.
func (s *Server) Status() *meshpb.Status {
	st := &meshpb.Status{}
	if s.status != nil {
		st = s.status()
	}
	st.Offset = int64(s.controlState.View().Offset)
	if err := s.monitor.CheckCurrent(); err != nil {
		st.Refusing = mn.AsError(err).Detail
	}
	return st
}

// Borrow implements the Peer service.
func (s *Server) Borrow(ctx context.Context, in *meshpb.BorrowRequest) (*meshpb.BorrowReply, error) {
	if s.lender == nil {
		return &meshpb.BorrowReply{}, nil
	}
	return s.lender.Borrow(ctx, in)
}

// Relay implements the Peer service.
func (s *Server) Relay(in *meshpb.RelayRequest, stream meshpb.DRPCPeer_RelayStream) error {
	next := mn.Offset(in.From)
	for {
		changed := s.controlState.Changed()
		batch, err := s.nextBatch(&next)
		if err != nil {
			return err
		}
		if err := stream.Send(batch); err != nil {
			return err
		}
		if next <= s.controlState.View().Offset {
			continue
		}
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		case <-s.stop:
			return nil
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// nextBatch returns the records from offset next on, or a snapshot if they are no longer
// held, and advances next past them.
func (s *Server) nextBatch(next *mn.Offset) (*meshpb.RelayBatch, error) {
	batch := &meshpb.RelayBatch{Head: int64(s.monitor.HighestKnown())}
	entries, ok := s.controlState.RecordsSince(*next, maxRelayRecords)
	if !ok {
		snap := s.controlState.Snapshot()
		data, err := json.Marshal(&snap)
		if err != nil {
			return nil, err
		}
		batch.Snapshot = data
		*next = snap.Offset + 1
		return batch, nil
	}
	for _, e := range entries {
		batch.Entries = append(batch.Entries, &meshpb.RelayEntry{Offset: int64(e.Offset), Data: e.Data})
		*next = e.Offset + 1
	}
	return batch, nil
}
