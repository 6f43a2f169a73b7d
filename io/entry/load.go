package entry

import (
	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
)

// Limits of the interval between load reports.
const (
	minLoadInterval = 50 * mn.Millisecond
	maxLoadInterval = 5 * mn.Second
)

// LoadReporter returns load reports.
type LoadReporter interface {
	// LoadReport returns a report of the present load and of the cache events
	// whose numbers are greater than after, and the number of the last event
	// in the report.
	LoadReport(after int64) (*meshpb.LoadReport, int64)
}

// Load sends load reports at the requested interval until the stream ends.
func (s *Server) Load(r *meshpb.LoadRequest, stream meshpb.DRPCAgent_LoadStream) error {
	interval := min(max(mn.Millis(r.IntervalMs), minLoadInterval), maxLoadInterval)
	var last int64
	for {
		report, next := s.LoadReporter.LoadReport(last)
		last = next
		report.Draining = s.draining.Load() || s.paused.Load()
		report.Offset = int64(s.Views.View().Offset)
		if err := stream.Send(report); err != nil {
			return err
		}
		if err := s.Clock.Sleep(stream.Context(), interval); err != nil {
			return nil
		}
	}
}
