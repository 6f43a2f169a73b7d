package shed

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

func TestPick(t *testing.T) {
	const now = 100_000
	ago := func(p Phase, stalled mn.Millis, held int64) Conn {
		return Conn{Phase: p, MovedAt: now - stalled, Held: held}
	}
	tests := map[string]struct {
		conns []Conn
		// want is the index of the connection that gives way, -1 for none.
		want int
	}{
		"none":                                      {nil, -1},
		"a running request stays":                   {[]Conn{ago(Running, 60_000, 1<<20)}, -1},
		"a request that makes progress stays":       {[]Conn{ago(Body, MinStall-1, 1<<20), ago(Head, 10, 0)}, -1},
		"one that was answered goes at once":        {[]Conn{ago(Body, 5000, 1<<20), ago(Ended, 0, 0), ago(Idle, 50_000, 0)}, 1},
		"large and still before small and still":    {[]Conn{ago(Body, 1000, 100), ago(Body, 900, 1<<20)}, 1},
		"the longest of equal ones":                 {[]Conn{ago(Head, 1000, 0), ago(Head, 3000, 0), ago(Head, 2000, 0)}, 1},
		"unfinished before idle":                    {[]Conn{ago(Idle, 50_000, 0), ago(Head, MinStall, 0)}, 1},
		"the longest idle if nothing is unfinished": {[]Conn{ago(Idle, 700, 0), ago(Idle, 9000, 0), ago(Running, 9999, 0)}, 1},
		"one that has just become idle stays":       {[]Conn{ago(Idle, 10, 0)}, -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := Pick(now, slices.All(tt.conns))
			require.Equal(t, tt.want >= 0, ok)
			if ok {
				require.Equal(t, tt.want, got)
			}
		})
	}
}

// Whatever a crowd does, an ordinary request that is complete or makes progress stays.
func TestOrdinaryRequestsStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 1_000_000
		conns := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Conn {
			return Conn{Phase: Phase(rapid.IntRange(0, 4).Draw(t, "phase")), MovedAt: now - mn.Millis(rapid.IntRange(0, 4000).Draw(t, "stalled")),
				Held: rapid.Int64Range(0, 4<<20).Draw(t, "held")}
		})).Draw(t, "conns")
		if i, ok := Pick(now, slices.All(conns)); ok {
			c := conns[i]
			require.NotEqual(t, Running, c.Phase)
			require.True(t, c.Phase == Ended || now-c.MovedAt >= MinStall)
		}
	})
}

func TestLimits(t *testing.T) {
	require.Equal(t, Limits{Conns: 567, Backlog: 288}, NewLimits(144, 3075), "memory binds")
	require.Equal(t, Limits{Conns: 200, Backlog: 128}, NewLimits(64, 600), "descriptors bind")
	require.Equal(t, Limits{Conns: 10_000, Backlog: 4096}, NewLimits(0, 0))
	require.Equal(t, Limits{Conns: 16, Backlog: 4096}, NewLimits(0, 10))
}

// What the kernel holds and what the process takes for connections stay within their shares on
// every machine.
func TestLimitsFitIntoMemory(t *testing.T) {
	for _, memoryMB := range []int64{64, 144, 184, 284, 536, 4096} {
		l := NewLimits(memoryMB, 0)
		require.LessOrEqual(t, l.KernelMemory()+int64(l.Conns)*connCost, (memoryMB<<20)*15/32, "memory of %d MB", memoryMB)
	}
}
