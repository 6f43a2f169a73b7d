package oper

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"connectrpc.com/connect"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/core/fresh"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
)

const (
	defaultWatchInterval = 1 * mn.Second
	minWatchInterval     = 100 * mn.Millisecond
	probeTimeout         = 700 * mn.Millisecond
)

// States of a process in the reports of Watch.
const (
	stateCurrent     = "current"
	stateNotCurrent  = "not current"
	stateLeaving     = "leaving"
	stateUnreachable = "unreachable"
)

// Watch implements the service.
func (s *Server) Watch(ctx context.Context, req *connect.Request[apipb.WatchRequest], out *connect.ServerStream[apipb.WatchResponse]) error {
	if err := s.authorize(req.Header()); err != nil {
		return caller.ToConnect(err)
	}
	interval := defaultWatchInterval
	if req.Msg.IntervalMs > 0 {
		interval = max(mn.Millis(req.Msg.IntervalMs), minWatchInterval)
	}
	for n := int64(1); ctx.Err() == nil; n++ {
		if err := out.Send(s.pollProcesses(ctx)); err != nil {
			return err
		}
		if n == req.Msg.Limit {
			return nil
		}
		_ = s.Clock.Sleep(ctx, interval)
	}
	return nil
}

// pollProcesses requests the state of every process of the roster.
func (s *Server) pollProcesses(ctx context.Context) *apipb.WatchResponse {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	v := s.ControlState.View()
	members := slices.SortedFunc(maps.Values(v.Roster), func(a, b mn.Member) int {
		return cmp.Or(cmp.Compare(b.Role, a.Role), cmp.Compare(a.VM, b.VM))
	})
	states := make([]*apipb.ProcessState, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() { states[i] = s.probe(ctx, v, m) })
	}
	wg.Wait()
	return &apipb.WatchResponse{
		Head:      int64(s.Monitor.HighestKnown()),
		Holder:    string(v.Lease.Holder),
		Term:      int64(v.Lease.Term),
		Processes: states,
		Pools:     poolStates(v, states),
	}
}

// probe requests the state of m. It returns state unreachable if m doesn't answer, or if
// another incarnation does.
func (s *Server) probe(ctx context.Context, v *mn.View, m mn.Member) *apipb.ProcessState {
	st := &apipb.ProcessState{
		Vm:          string(m.VM),
		Role:        string(m.Role),
		DataCentre:  string(m.DataCentre),
		Addr:        m.Addr,
		Pool:        string(m.Pool),
		Incarnation: string(m.Incarnation),
		State:       stateUnreachable,
	}
	reply, err := s.StatusClient.Status(ctx, m, fresh.ProbeRequest{
		VM:          s.VM,
		Incarnation: s.Incarnation,
		Offset:      v.Offset,
		Established: s.Monitor.Established(),
	})
	if err != nil || reply.Incarnation != string(m.Incarnation) || reply.Status == nil {
		return st
	}
	p := reply.Status
	st.Offset = p.Offset
	st.Running = p.Running
	st.Waiting = p.Waiting
	st.EngineRole = p.EngineRole
	st.EngineVersion = p.EngineVersion
	st.Refusing = p.Refusing
	switch {
	case p.Refusing != "":
		st.State = stateNotCurrent
	case p.Leaving || v.IsLeaving(m):
		st.State = stateLeaving
	default:
		st.State = stateCurrent
	}
	return st
}

// poolStates returns the declared and the actual state of each pool.
func poolStates(v *mn.View, states []*apipb.ProcessState) []*apipb.PoolState {
	var pools []*apipb.PoolState
	for _, r := range conf.SortedResources(v) {
		p := r.Resource.Pool
		if p == nil {
			continue
		}
		declared, want := "plain", ""
		if p.Kind == mn.PoolModel {
			m, _ := v.Model(p.Model)
			want = m.Version
			declared = fmt.Sprintf("%s version %s", p.Model, want)
		}
		if p.MaxEndpoints > 0 {
			declared += fmt.Sprintf(", %d to %d endpoints", p.MinEndpoints, p.MaxEndpoints)
		}
		pools = append(pools, &apipb.PoolState{Pool: string(p.ID), Declared: declared, Actual: describeEndpoints(p.ID, want, states)})
	}
	return pools
}

// describeEndpoints returns how many endpoints of pool are serving and, unless version is
// empty, how many have that version.
func describeEndpoints(pool mn.PoolID, version string, states []*apipb.ProcessState) string {
	total, serving, matching := 0, 0, 0
	for _, st := range states {
		if st.Pool != string(pool) {
			continue
		}
		total++
		if st.State == stateCurrent {
			serving++
		}
		if st.EngineVersion == version {
			matching++
		}
	}
	if version == "" {
		return fmt.Sprintf("%d of %d endpoints serving", serving, total)
	}
	return fmt.Sprintf("%d of %d endpoints serving, %d with version %s", serving, total, matching, version)
}
