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

// platform is clock, authority, writer and fleet of one process in a synctest
// bubble.
type platform struct {
	mn.SystemClock
	start  time.Time
	term   mn.Term
	until  mn.Millis
	slow   time.Duration
	void   *mn.Error
	lost   bool
	writes []mn.Intent
	orders []mn.FleetOrder
	ended  mn.Millis
}

func (p *platform) Now() mn.Millis { return mn.MillisOf(time.Since(p.start)) }

func (p *platform) Held() (mn.Term, mn.Millis, bool) {
	return p.term, p.until, p.term != 0 && p.Now() < p.until
}

func (p *platform) Write(ctx context.Context, r *mn.Record) (mn.Offset, error) {
	select {
	case <-time.After(p.slow):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if p.void != nil {
		return 9, p.void
	}
	p.writes = append(p.writes, *r.Intent)
	return 9, nil
}

func (p *platform) OrderFleet(ctx context.Context, o mn.FleetOrder) error {
	p.orders = append(p.orders, o)
	if p.lost {
		<-ctx.Done()
		p.ended = p.Now()
		return errors.New("answer lost")
	}
	return nil
}

func (p *platform) FleetStates(context.Context) ([]mn.FleetState, error) { return nil, nil }

func TestOrders(t *testing.T) {
	tests := []struct {
		name   string
		code   mn.Code
		orders int
		spoil  func(p *platform)
	}{
		{"held", mn.OK, 1, func(*platform) {}},
		{"not held", mn.LeaseLost, 0, func(p *platform) { p.term = 0 }},
		{"lapsed", mn.LeaseLost, 0, func(p *platform) { p.until = p.Now() }},
		{"new term", mn.OrderBusy, 0, func(p *platform) { p.term = 8 }},
		{"intent void", mn.PlatformUnavailable, 0, func(p *platform) { p.void = mn.Errorf(mn.OrderStale, "term") }},
		{"log too slow", mn.PlatformUnavailable, 0, func(p *platform) { p.slow = time.Minute }},
		{"too little left for a call", mn.LeaseLost, 0, func(p *platform) { p.until = p.Now() + 1100 }},
		{"too little left after the intent", mn.LeaseLost, 0, func(p *platform) {
			p.until = p.Now() + 1900
			p.slow = 800 * time.Millisecond
		}},
		{"answer lost", mn.Internal, 1, func(p *platform) { p.lost = true }},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			p := &platform{start: time.Now(), term: 7, until: mn.Hour}
			log := logrus.New()
			log.SetOutput(io.Discard)
			o := fleet.NewScaler("vm1", fleet.DefaultOrderSettings(), p, p, p, p, log)
			_, err := o.States(t.Context())
			require.Error(t, err, "calls of the holder before may be under way")
			require.Equal(t, mn.OrderBusy, mn.CodeOf(err))
			time.Sleep(1200 * time.Millisecond)
			_, err = o.States(t.Context())
			require.NoError(t, err)

			p.until = p.Now() + 3*mn.Second
			tt.spoil(p)
			err = o.SetTarget(t.Context(), "taalpers", "tiel-a", 5)
			if tt.code == mn.OK {
				require.NoError(t, err, tt.name)
				require.Equal(t, []mn.Intent{{Term: 7, Pool: "taalpers", DataCentre: "tiel-a", Target: 5}}, p.writes)
			} else {
				require.Error(t, err, tt.name)
				require.Equal(t, tt.code, mn.CodeOf(err), tt.name)
			}
			require.Len(t, p.orders, tt.orders, tt.name)
			require.Less(t, p.ended, p.until, "%s: the call ends inside the lease", tt.name)
		})
	}
}
