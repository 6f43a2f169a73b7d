package load

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

const smallWorkload = `
[load]
seed = 7
pool = p
[kind short]
prompt_tokens = 100
output_tokens = 5
spread = 0.5
prefix_tokens = 40
prefixes = 3
deadline = 1s
[kind long]
prompt_tokens = 10
output_tokens = 50
deadline = 9s
[customer a]
rate = 20
burst = 5
bookings = 0.2
[customer flood]
rate = 10
burst = 1
times = 5
[phase one]
span = 20s
mix = short:3, long:1
[phase two]
span = 20s
factor = 0.5
mix = long:1
`

func parseSmallWorkload(t *testing.T) *Workload {
	t.Helper()
	w, err := Parse("small.ini", []byte(smallWorkload))
	require.NoError(t, err)
	return w
}

func TestParseNamesEveryFault(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown section", "[phase two]", "[stage two]", "small.ini: [stage two]: unknown section, want [load]"},
		{"unknown name", "burst = 5", "bursts = 5", "small.ini: [customer a] bursts: unknown name"},
		{"missing", "rate = 20", "", "small.ini: [customer a] rate: missing"},
		{"bad unit", "deadline = 9s", "deadline = 9", `small.ini: [kind long] deadline: "9": want a duration with a unit`},
		{"not a number", "rate = 20", "rate = many", `small.ini: [customer a] rate: "many": want a number from 0.001 to 5000`},
		{"not finite", "rate = 20", "rate = NaN", `rate: "NaN": want a number`},
		{"unknown kind", "mix = long:1", "mix = lang:1", `[phase two] mix: kind "lang" has no section [kind lang]`},
		{"bad mix", "mix = long:1", "mix = long", `[phase two] mix: "long": want kinds with weights`},
		{"no pool", "pool = p", "", "[customer a] bookings: [load] pool is missing"},
		{"too long", "span = 20s", "span = 90m", "at most 1h"},
		{"no phase", smallWorkload, "[load]", "want at least one [kind NAME]"},
		{"not ini", "[load]", "[load", "small.ini:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("small.ini", []byte(strings.Replace(smallWorkload, tt.old, tt.new, 1)))
			require.Equal(t, mn.BadSetting, mn.CodeOf(err))
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallWorkload))
	f.Add([]byte("[phase x]\nmix = :"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("f", data); err == nil {
			require.NotEmpty(t, s.Phases)
			require.LessOrEqual(t, s.Duration(), maxDuration)
		}
	})
}

func TestPlanIsSeededAndFollowsTheWorkload(t *testing.T) {
	w := parseSmallWorkload(t)
	plan := w.Plan()
	require.Equal(t, plan, parseSmallWorkload(t).Plan())
	w.Seed++
	require.NotEqual(t, plan, w.Plan())
	w.Seed--
	count := func(f func(Arrival) bool) (n float64) {
		for _, a := range plan {
			if f(a) {
				n++
			}
		}
		return n
	}
	require.InDelta(t, 20*20, count(func(a Arrival) bool { return a.Customer == 0 && a.Phase == 0 }), 60)
	require.InDelta(t, 50*20*0.5, count(func(a Arrival) bool { return a.Customer == 1 && a.Phase == 1 }), 70)
	require.InDelta(t, 0.2*600, count(func(a Arrival) bool { return a.Customer == 0 && a.Booking }), 35)
	require.Zero(t, count(func(a Arrival) bool { return a.Phase == 1 && a.Kind == 0 }))
	within := count(func(a Arrival) bool { return a.Customer == 1 && a.WithinRate })
	require.LessOrEqual(t, within, 10.0*40+1, "the rate and burst admit no more, however much is sent")
	require.Greater(t, within, 0.7*10*40, "a bucket of 1 falls short of the rate only by what it can't earn while it is full")
	for _, a := range plan[:50] {
		require.Len(t, w.Prompt(a), int(a.PromptTokens*bytesPerToken))
	}
}

// scriptedSender answers in time, answers late, rejects and fails in turn, by the
// arrival's index.
type scriptedSender struct {
	mu   sync.Mutex
	sent int
}

func (s *scriptedSender) Send(_ context.Context, w *Workload, a Arrival) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	r := Result{FirstToken: 10 * time.Millisecond, Total: 20 * time.Millisecond, PromptTokens: 100, CachedTokens: 25, OutputTokens: 3}
	switch a.Index % 4 {
	case 1:
		r.Total = w.Kinds[a.Kind].Deadline.Duration() + time.Millisecond
	case 2:
		r = Result{Err: mn.Errorf(mn.Overloaded, "full")}
	case 3:
		r = Result{Err: mn.Errorf(mn.EndpointFailed, "crash")}
	}
	return r
}

func TestReportCountsEveryArrival(t *testing.T) {
	w := parseSmallWorkload(t)
	clock := mn.NewManualClock(1)
	done := make(chan *Report)
	sender := &scriptedSender{}
	go func() { done <- Run(t.Context(), w, clock, sender) }()
	var r *Report
	for r == nil {
		select {
		case r = <-done:
		default:
			clock.Advance(100)
			time.Sleep(100 * time.Microsecond)
		}
	}
	plan := w.Plan()
	quarter := float64(len(plan)) / 4
	require.EqualValues(t, len(plan), r.All.Sent)
	require.Equal(t, len(plan), sender.sent)
	require.InDelta(t, quarter, r.All.InTime, 1)
	require.InDelta(t, quarter, r.All.Late, 1)
	require.InDelta(t, quarter, r.All.Codes[mn.Overloaded.String()], 1)
	var rejected int64
	for _, a := range plan {
		if a.Index%4 == 2 && a.WithinRate {
			rejected++
		}
	}
	require.Equal(t, rejected, r.All.RejectedWithinRate, "crashes and requests beyond the rate are not counted")
	require.InDelta(t, 0.25, r.All.PrefixHitRatio, 1e-9)
	require.InDelta(t, 10, r.All.FirstToken.Median, 0.1)
	require.Equal(t, r.All.Sent, r.Customers[0].Sent+r.Customers[1].Sent)
	require.Equal(t, r.All.InTime, r.CustomerPhases[0].InTime+r.CustomerPhases[1].InTime+r.CustomerPhases[2].InTime+r.CustomerPhases[3].InTime)

	path := filepath.Join(t.TempDir(), "r.json")
	require.NoError(t, r.WriteJSON(path))
	read, err := ReadJSON(path)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, Compare(&out, r, read))
	require.Contains(t, out.String(), "worst-served customer")
	require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	_, err = ReadJSON(path)
	require.ErrorContains(t, err, "is not a report")
}
