package caller

import (
	"context"

	"connectrpc.com/connect"

	mn "mustardnotch"
	"mustardnotch/core/spans"
	"mustardnotch/gen/apipb"
	"mustardnotch/gen/meshpb"
)

// defaultCallDeadline bounds a plain call that names no deadline.
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
	maxTokens, err := checkGenerate(v, m, found)
	if err != nil {
		return err
	}
	if err := s.Limiter.Admit(ctx, id.customer, s.deadline(m.DeadlineMs)); err != nil {
		return err
	}
	r := s.request(id, pool.ID, m.DeadlineMs, v.Offset)
	r.Generation = &meshpb.GenerationBody{Prompt: m.Prompt, MaxTokens: maxTokens}
	s.prefill(ctx, r)
	sink := func(vm mn.VMID, f *meshpb.Frame) error {
		if f.End != nil {
			s.record(r, f.End)
		}
		return out.Send(chunkOf(pool.ID, vm, r.Id, f))
	}
	return s.attempt(ctx, r, sink)
}

func checkGenerate(v *mn.View, m *apipb.GenerateRequest, found bool) (int64, error) {
	model, ok := v.Model(mn.ModelID(m.Model))
	if !ok || !found {
		return 0, mn.Errorf(mn.UnknownModel, "model %q", m.Model)
	}
	if m.Prompt == "" {
		return 0, mn.Errorf(mn.BadRequest, "prompt: is empty")
	}
	if m.MaxTokens < 0 || m.MaxTokens > model.MaxTokens {
		return 0, mn.Errorf(mn.BadRequest, "max_tokens %d: want 0 to %d", m.MaxTokens, model.MaxTokens)
	}
	if err := checkDeadline(m.DeadlineMs); err != nil {
		return 0, err
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
	span := m.DeadlineMs
	if span == 0 {
		span = int64(defaultCallDeadline)
	}
	ctx, cancel := withDeadline(ctx, span)
	defer cancel()
	v := s.Views.View()
	pool, found := v.Pool(mn.PoolID(m.Pool))
	id, err := s.identify(req.Header(), found && pool.Open)
	if err != nil {
		return nil, err
	}
	if !found || pool.Kind != mn.PoolPlain {
		return nil, mn.Errorf(mn.UnknownPool, "pool %q", m.Pool)
	}
	if err := s.Limiter.Admit(ctx, id.customer, s.deadline(span)); err != nil {
		return nil, err
	}
	r := s.request(id, pool.ID, span, v.Offset)
	r.IdempotencyKey = m.IdempotencyKey
	r.Call = &meshpb.CallBody{Path: m.Path, Body: m.Body}
	resp := &apipb.CallResponse{RequestId: r.Id}
	err = s.attempt(ctx, r, func(_ mn.VMID, f *meshpb.Frame) error {
		resp.Body = append(resp.Body, f.Body...)
		if f.End != nil {
			s.record(r, f.End)
		}
		return nil
	})
	return resp, err
}

func (s *Server) request(id identity, pool mn.PoolID, deadline int64, off mn.Offset) *meshpb.Request {
	return &meshpb.Request{
		Id:         string(mn.NewRequestID()),
		Customer:   string(id.customer.ID),
		Weight:     id.customer.Weight,
		KeyHash:    string(id.hash),
		Pool:       string(pool),
		DeadlineMs: deadline,
		Offset:     int64(off),
		Entry:      string(s.VM),
	}
}

// attempt routes r and runs it at the chosen agent.
func (s *Server) attempt(ctx context.Context, r *meshpb.Request, sink func(mn.VMID, *meshpb.Frame) error) error {
	work := mn.Work{
		ID:       mn.RequestID(r.Id),
		Customer: mn.CustomerID(r.Customer),
		Pool:     mn.PoolID(r.Pool),
		Key:      mn.IdempotencyKey(r.IdempotencyKey),
		Deadline: s.deadline(r.DeadlineMs),
		Weight:   r.Weight,
	}
	if g := r.Generation; g != nil {
		work.Prompt = g.Prompt
		work.MaxTokens = g.MaxTokens
		work.Prefilled = g.KvHandle != ""
	}
	m, done, err := s.Router.Route(ctx, work)
	if err != nil {
		return err
	}
	ctx, span := s.Tracer.Start(ctx, "entry.submit")
	defer span.End()
	r.Traceparent = spans.Inject(ctx)
	err = s.Agents.Submit(ctx, m.Addr, r, func(f *meshpb.Frame) error { return sink(m.VM, f) })
	done(err)
	if err != nil {
		spans.Fail(span, err)
	}
	return err
}

// record notes the usage of r before its caller sees the end marker.
func (s *Server) record(r *meshpb.Request, e *meshpb.End) {
	s.Recorder.Record(mn.Served{
		ID:           mn.RequestID(r.Id),
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
