package caller

import (
	"context"

	"connectrpc.com/connect"

	mn "mustardnotch"
	"mustardnotch/core/fresh"
	"mustardnotch/gen/apipb"
	"mustardnotch/gen/meshpb"
)

// defaultCallDeadline is the deadline of a plain call that sets none.
const defaultCallDeadline = 30 * mn.Second

func (s *Server) generate(ctx context.Context, req *connect.Request[apipb.GenerateRequest], out *connect.ServerStream[apipb.GenerateChunk]) error {
	m := req.Msg
	ctx, cancel := withDeadline(ctx, m.DeadlineMs)
	defer cancel()
	v := s.Views.View()
	pool, found := poolOf(v, mn.ModelID(m.Model))
	id, err := s.identify(req.Header(), found && pool.Open)
	if err != nil {
		return err
	}
	ctx, session := s.Guard.OpenSession(ctx, id.hash)
	defer session.Close()
	maxTokens, err := checkGenerate(v, m, found)
	if err != nil {
		return err
	}
	if err := s.Limiter.Admit(ctx, id.customer, s.deadline(m.DeadlineMs)); err != nil {
		return err
	}
	r := s.newRequest(id, pool.ID, m.DeadlineMs, v.Offset)
	r.Generation = &meshpb.GenerationBody{
		Prompt:         m.Prompt,
		MaxTokens:      maxTokens,
		Prefix:         m.Prefix,
		PrefixSequence: m.AfterSequence,
		PrefixTokens:   m.PrefixTokens,
	}
	s.prefill(ctx, r)
	sink := func(vm mn.VMID, f *meshpb.Frame) error {
		if err := session.Err(); err != nil {
			return err
		}
		if f.End != nil {
			s.record(r, f.End)
		}
		return out.Send(chunkOf(pool.ID, vm, r.Id, f))
	}
	return fresh.SessionError(ctx, s.runGeneration(ctx, r, sink))
}

// checkGenerate checks a request for a generation and returns its maximum of output
// tokens.
func checkGenerate(v *mn.View, m *apipb.GenerateRequest, found bool) (int64, error) {
	model, ok := v.Model(mn.ModelID(m.Model))
	if !ok || !found {
		return 0, mn.Errorf(mn.UnknownModel, "no pool serves model %q", m.Model)
	}
	if m.Prompt == "" {
		return 0, mn.Errorf(mn.BadRequest, "prompt is empty")
	}
	if m.MaxTokens < 0 || m.MaxTokens > model.MaxTokens {
		return 0, mn.Errorf(mn.BadRequest, "max_tokens %d: want 0 to %d", m.MaxTokens, model.MaxTokens)
	}
	if err := checkDeadline(m.DeadlineMs); err != nil {
		return 0, err
	}
	if m.AfterSequence < 0 || m.PrefixTokens < 0 || (m.Prefix == "") != (m.PrefixTokens == 0) {
		return 0, mn.Errorf(mn.BadRequest, "prefix: want it together with prefix_tokens, and no negative after_sequence or prefix_tokens")
	}
	if m.MaxTokens == 0 {
		return model.MaxTokens, nil
	}
	return m.MaxTokens, nil
}

func (s *Server) call(ctx context.Context, req *connect.Request[apipb.CallRequest]) (*apipb.CallResponse, error) {
	m := req.Msg
	if err := checkDeadline(m.DeadlineMs); err != nil {
		return nil, err
	}
	deadlineMs := m.DeadlineMs
	if deadlineMs == 0 {
		deadlineMs = int64(defaultCallDeadline)
	}
	ctx, cancel := withDeadline(ctx, deadlineMs)
	defer cancel()
	v := s.Views.View()
	pool, found := v.Pool(mn.PoolID(m.Pool))
	id, err := s.identify(req.Header(), found && pool.Open)
	if err != nil {
		return nil, err
	}
	ctx, session := s.Guard.OpenSession(ctx, id.hash)
	defer session.Close()
	if !found || pool.Kind != mn.PoolPlain {
		return nil, mn.Errorf(mn.UnknownPool, "no pool of plain services is named %q", m.Pool)
	}
	r := s.newRequest(id, pool.ID, deadlineMs, v.Offset)
	r.IdempotencyKey = m.IdempotencyKey
	if r.IdempotencyKey != "" {
		r.UsageId = r.Customer + "/" + r.IdempotencyKey
	}
	r.First = m.Attempt == 1
	r.Call = &meshpb.CallBody{Path: m.Path, Body: m.Body}
	j := s.newPendingCall(r, pool.Repeatable)
	if err := s.Limiter.Admit(ctx, id.customer, s.deadline(deadlineMs)); err != nil {
		return j.answer(j.confirmOutcome(ctx, err))
	}
	err = fresh.SessionError(ctx, j.run(ctx))
	if sessionErr := session.Err(); err == nil && sessionErr != nil {
		err = mn.AsError(sessionErr).WithOutcome(mn.OutcomeRan)
	}
	return j.answer(err)
}

// newRequest returns a request with a new id and the fields that all requests have.
func (s *Server) newRequest(id identity, pool mn.PoolID, deadline int64, off mn.Offset) *meshpb.Request {
	rid := string(mn.NewRequestID())
	return &meshpb.Request{
		Id:         rid,
		UsageId:    rid,
		Customer:   string(id.customer.ID),
		Weight:     id.customer.Weight,
		KeyHash:    string(id.hash),
		Pool:       string(pool),
		DeadlineMs: deadline,
		Offset:     int64(off),
		Entry:      string(s.VM),
	}
}

// maxReplayAge is the maximum age of a call whose usage is recorded when its answer is
// sent again. The agent that ran the call has recorded it too, and usage records of one
// answer are only deduplicated if they were made within a short time.
const maxReplayAge = 50 * mn.Second

// record records the usage of r. It must be called before the end marker is sent to the
// caller, so that no caller receives a complete answer whose usage is not recorded.
func (s *Server) record(r *meshpb.Request, e *meshpb.End) {
	run, err := mn.IdempotencyKey(e.RequestId).Created()
	if r.IdempotencyKey != "" && err == nil && s.Clock.Wall()-run > maxReplayAge {
		return
	}
	id := e.UsageId
	if id == "" {
		id = r.UsageId
	}
	s.Recorder.Record(mn.RequestUsage{
		ID:           mn.RequestID(id),
		Customer:     mn.CustomerID(r.Customer),
		Pool:         mn.PoolID(r.Pool),
		PromptTokens: e.PromptTokens,
		OutputTokens: e.OutputTokens,
	})
}

func chunkOf(pool mn.PoolID, vm mn.VMID, id string, f *meshpb.Frame) *apipb.GenerateChunk {
	c := &apipb.GenerateChunk{
		Sequence:    f.Sequence,
		Text:        f.Text,
		Tokens:      f.Tokens,
		ResumeToken: string(pool) + "/" + string(vm) + "/" + id,
	}
	if e := f.End; e != nil {
		c.End = &apipb.EndMarker{
			PromptTokens: e.PromptTokens,
			OutputTokens: e.OutputTokens,
			CachedTokens: e.CachedTokens,
			Length:       e.Length,
			Digest:       e.Digest,
		}
	}
	return c
}
