package fleet_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/fleet"
)

// fakePlatform is the clock, lease checker, record writer and fleet of one process
// in a synctest bubble.
type fakePlatform struct {
	mn.SystemClock
	start      time.Time
	term       mn.Term
	until      mn.Millis
	logDelay   time.Duration
	intentErr  *mn.Error
	loseAnswer bool
	writes     []mn.Intent
	orders     []mn.FleetOrder
	callEnded  mn.Millis
}

func (p *fakePlatform) Now() mn.Millis { return mn.MillisOf(time.Since(p.start)) }

func (p *fakePlatform) Held() (mn.Term, mn.Millis, bool) {
	return p.term, p.until, p.term != 0 && p.Now() < p.until
}

func (p *fakePlatform) Write(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	select {
	case <-time.After(p.logDelay):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if p.intentErr != nil {
		return 9, p.intentErr
	}
	p.writes = append(p.writes, *r.Intent)
	return 9, nil
}

func (p *fakePlatform) OrderFleet(ctx context.Context, o mn.FleetOrder) error {
	p.orders = append(p.orders, o)
	if p.loseAnswer {
		<-ctx.Done()
		p.callEnded = p.Now()
		return errors.New("answer lost")
	}
	return nil
}

func (p *fakePlatform) FleetStates(context.Context) ([]mn.FleetState, error) { return nil, nil }

func TestScaler(t *testing.T) {
	tests := []struct {
		name   string
		code   mn.Code
		orders int
		modify func(p *fakePlatform)
	}{
		{"held", mn.OK, 1, func(*fakePlatform) {}},
		{"not held", mn.LeaseLost, 0, func(p *fakePlatform) { p.term = 0 }},
		{"expired", mn.LeaseLost, 0, func(p *fakePlatform) { p.until = p.Now() }},
		{"new term", mn.OrderBusy, 0, func(p *fakePlatform) { p.term = 8 }},
		{"intent invalid", mn.PlatformUnavailable, 0, func(p *fakePlatform) { p.intentErr = mn.Errorf(mn.OrderStale, "term") }},
		{"log too slow", mn.PlatformUnavailable, 0, func(p *fakePlatform) { p.logDelay = time.Minute }},
		{"lease too short for a call", mn.LeaseLost, 0, func(p *fakePlatform) { p.until = p.Now() + 1100 }},
		{"lease too short after the intent", mn.LeaseLost, 0, func(p *fakePlatform) {
			p.until = p.Now() + 1900
			p.logDelay = 800 * time.Millisecond
		}},
		{"answer lost", mn.Internal, 1, func(p *fakePlatform) { p.loseAnswer = true }},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			p := &fakePlatform{start: time.Now(), term: 7, until: mn.Hour}
			log := logrus.New()
			log.SetOutput(io.Discard)
			scaler := fleet.NewScaler("vm1", fleet.DefaultOrderSettings(), p, p, p, p, log)
			_, err := scaler.States(t.Context())
			require.Error(t, err, "calls of the previous holder may still be in progress")
			require.Equal(t, mn.OrderBusy, mn.CodeOf(err))
			time.Sleep(1200 * time.Millisecond)
			_, err = scaler.States(t.Context())
			require.NoError(t, err)

			p.until = p.Now() + 3*mn.Second
			tt.modify(p)
			err = scaler.SetTarget(t.Context(), "taalpers", "tiel-a", 5)
			if tt.code == mn.OK {
				require.NoError(t, err, tt.name)
				require.Equal(t, []mn.Intent{{Term: 7, Pool: "taalpers", DataCentre: "tiel-a", Target: 5}}, p.writes)
			} else {
				require.Error(t, err, tt.name)
				require.Equal(t, tt.code, mn.CodeOf(err), tt.name)
			}
			require.Len(t, p.orders, tt.orders, tt.name)
			require.Less(t, p.callEnded, p.until, "%s: the call ends before the lease", tt.name)
		})
	}
}
