// Package shed decides which callers' connections give way when there are too many.
//
// Load pattern: callers that nobody controls open connections without end, send most of a
// request and stop, or send a byte now and then. Each of them stays within the limits of one
// request; together they take all descriptors and all memory, and ordinary callers, whose
// requests arrive at once, find no room.
package shed

import (
	"iter"

	mn "mustardnotch"
)

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	// Head means that the head of a request has not arrived completely.
	Head Phase = iota
	// Body means that the body of a request has not arrived completely.
	Body
	// Running means that a complete request is being served.
	Running
	// Ended means that a request was answered before it had arrived completely.
	Ended
	// Idle means that the connection has carried a request and waits for the next one.
	Idle
)

var phaseNames = [...]string{"head", "body", "running", "ended", "idle"}

// String returns the phase's name in metrics.
func (p Phase) String() string { return phaseNames[p] }

const (
	// MinStall is how long a request makes no progress before it may give way. A lost packet
	// is sent again within it.
	MinStall = 500 * mn.Millisecond
	// Progress is the number of bytes that count as progress. A connection that carries less
	// than Progress in MinStall is slower than any link in use.
	Progress = 4 << 10
	// connCost is what a connection takes in any phase, in bytes, of the process's own memory.
	connCost = 40 << 10
	// SocketBuffer is the size of the kernel's buffers of a connection, each way, in bytes. A
	// window of 32 KiB carries 5 MB a second over the 6 ms to callers and back.
	SocketBuffer = 32 << 10
)

// Conn is a connection as far as the decision needs it.
type Conn struct {
	Phase Phase
	// Owner is the customer of the request, empty while it is not known.
	Owner string
	// MovedAt is when the phase began, or when the last Progress bytes arrived in it.
	MovedAt mn.Millis
	// Held is what the unfinished request takes, in bytes, beyond the cost of a connection, and
	// Head the part of it that its head takes.
	Held, Head int64
}

// Pick returns the connection that gives way first: one whose request was answered already,
// then the unfinished request that holds the most for the longest time without progress,
// then the connection that has been idle the longest. A request that runs never gives way,
// nor does one that makes progress. It returns false if none gives way.
func Pick[K any](now mn.Millis, conns iter.Seq2[K, Conn]) (picked K, ok bool) {
	best := rank{class: -1}
	for k, c := range conns {
		if r := c.rank(now); r.above(best) {
			best, picked, ok = r, k, true
		}
	}
	return picked, ok
}

// rank orders connections. Those of a negative class don't give way.
type rank struct {
	class int
	score float64
}

func (r rank) above(o rank) bool {
	return r.class > o.class || r.class == o.class && r.class >= 0 && r.score > o.score
}

func (c Conn) rank(now mn.Millis) rank {
	stalled := now - c.MovedAt
	switch {
	case c.Phase == Ended:
		return rank{2, float64(stalled)}
	case c.Phase == Running, stalled < MinStall:
		return rank{class: -1}
	case c.Phase == Idle:
		return rank{0, float64(stalled)}
	}
	return rank{1, float64(stalled) * float64(connCost+c.Held)}
}

// Limits are what a process takes for connections of callers.
type Limits struct {
	// Conns is the maximum number of connections.
	Conns int
	// Backlog is the maximum number of connections that have not been accepted.
	Backlog int
}

// KernelMemory returns the most that the kernel holds for the connections, in bytes.
func (l Limits) KernelMemory() int64 {
	return int64(l.Conns)*2*SocketBuffer + int64(l.Backlog)*SocketBuffer
}

// NewLimits returns the limits of a process that may use the given memory in MiB and the given
// number of descriptors, each 0 for no limit.
func NewLimits(memoryMB, maxFDs int64) Limits {
	const (
		// reservedFDs is the number of descriptors that the platform keeps for files.
		reservedFDs = 200
		// callerShare is the share of the other descriptors that callers get. The rest is for
		// endpoints, peers and the platform.
		callerShare = 0.5
		// memoryShare is the share of the memory that connections of callers may take, with what
		// the kernel holds for them both ways, and backlogShare that of those in the backlog.
		memoryShare  = 0.4
		backlogShare = 1.0 / 16
		// unlimited and unlimitedBacklog apply if neither limit is set.
		unlimited, unlimitedBacklog = 10_000, 4096
		// minConns is the smallest number of connections with which a process is of use.
		minConns = 16
	)
	conns, backlog := int64(unlimited), int64(unlimitedBacklog)
	if memoryMB > 0 {
		memory := float64(memoryMB << 20)
		conns = min(conns, int64(memoryShare*memory)/(connCost+2*SocketBuffer))
		backlog = min(backlog, int64(backlogShare*memory)/SocketBuffer)
	}
	if maxFDs > 0 {
		conns = min(conns, int64(callerShare*float64(maxFDs-reservedFDs)))
	}
	return Limits{Conns: int(max(conns, minConns)), Backlog: int(max(backlog, minConns))}
}
