package node

import (
	"context"
	"fmt"
	"math"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
)

// engineLogInterval is the time between two log lines with the model of a pool's
// engines.
const engineLogInterval = 5 * mn.Second

// logEngines logs what the front has learned of engines, and keeps it in the metrics,
// until ctx is done.
func (f *Front) logEngines(ctx context.Context) error {
	for f.clock.Sleep(ctx, engineLogInterval) == nil {
		cold, used := f.balancer.ColdEndpoints()
		f.stats.Set("cold_endpoints", cold)
		f.stats.Set("cold_endpoints_used", used)
		for pool, share := range f.balancer.SlowPhases() {
			f.stats.Set(fmt.Sprintf("slow_phase_percent{pool=%q}", pool), int64(math.Round(100*share)))
		}
		for pool, r := range f.balancer.SpeedRanges() {
			f.log.WithFields(logrus.Fields{"event": "engine_speeds", "pool": pool, "fastest_percent": math.Round(100 * r.Fastest),
				"slowest_percent": math.Round(100 * r.Slowest), "told": r.Told, "shared": r.Shared}).Info()
			f.stats.Set(fmt.Sprintf("engine_fastest_percent{pool=%q}", pool), int64(math.Round(100*r.Fastest)))
			f.stats.Set(fmt.Sprintf("engine_slowest_percent{pool=%q}", pool), int64(math.Round(100*r.Slowest)))
			f.stats.Set(fmt.Sprintf("engine_speeds_told{pool=%q}", pool), r.Told)
			f.stats.Set(fmt.Sprintf("engine_speeds_shared{pool=%q}", pool), r.Shared)
		}
		for pool, values := range f.balancer.EngineValues() {
			for _, v := range values {
				f.log.WithFields(logrus.Fields{"event": "engine_model", "pool": pool, "duration": v.Name,
					"coefficients_ms": fmt.Sprintf("%.3f", v.Coefficients), "observations": math.Round(v.Observations),
					"error_share": math.Round(v.Error*100) / 100}).Info()
				for i, c := range v.Coefficients {
					f.stats.Set(fmt.Sprintf("engine_%s_us{pool=%q,term=\"%d\"}", v.Name, pool, i), int64(math.Round(c*1000)))
				}
				f.stats.Set(fmt.Sprintf("engine_%s_observations{pool=%q}", v.Name, pool), int64(v.Observations))
				f.stats.Set(fmt.Sprintf("engine_%s_error_percent{pool=%q}", v.Name, pool), int64(v.Error*100))
			}
		}
	}
	return nil
}

// ObserveReply implements [back.Observer].
func (f *Front) ObserveReply(e mn.Endpoint, r mn.ReplyInfo) {
	if !f.balancer.ObserveReply(e, r) {
		return
	}
	name := "endpoint_pauses"
	if r.Leaving {
		name = "endpoint_leaving"
	}
	f.stats.Add(name, 1)
	f.log.WithFields(logrus.Fields{"event": name, "endpoint": e.ID, "pool": e.Pool, "pause_ms": r.Pause, "list_age_ms": f.view.ListAge()}).Info()
}
