package back

import (
	"sync"

	"mustardnotch/core/alloc"
)

// pieceSize is the size of the pieces in which a body is kept. The first one needs no room in
// the client's budget.
const pieceSize = 16 << 10

// Memory is what an answer takes. It is not safe for concurrent use.
type Memory struct {
	*alloc.Lease
	pool   *sync.Pool
	pieces []*[pieceSize]byte
}

// newPool returns a pool of pieces. Answers that end one after the other would otherwise leave
// more to the garbage collector than the budget has.
func newPool() *sync.Pool {
	return &sync.Pool{New: func() any { return new([pieceSize]byte) }}
}

func (c *Client) newMemory(addr string) *Memory {
	return &Memory{Lease: c.memory.Lease(addr), pool: c.pool}
}

// piece returns one more piece, or reports that there is no room for it.
func (m *Memory) piece() ([]byte, bool) {
	if len(m.pieces) > 0 && !m.Add(pieceSize) {
		return nil, false
	}
	p := m.pool.Get().(*[pieceSize]byte)
	m.pieces = append(m.pieces, p)
	return p[:], true
}

// End gives all memory back. Nothing that was read into it may be used any more.
func (m *Memory) End() {
	m.Lease.End()
	for _, p := range m.pieces {
		m.pool.Put(p)
	}
	m.pieces = nil
}
