// Package alloc bounds the memory that is held for what others send.
//
// Load pattern: an endpoint in trouble sends bytes without end in each of its answers, as
// many at once as it has slots. Each answer stays within a bound of its own, and their sum
// exceeds the memory of the process, which ends with the requests of all other callers.
package alloc

import (
	"io"
	"sync"
	"time"
)

// pieceSize is the size of the pieces in which text is kept.
const pieceSize = 16 << 10

// Budget is a number of bytes that holders share. A holder is what the bytes are held for,
// such as an endpoint. It is safe for concurrent use.
type Budget struct {
	total, perHolder int64

	mu       sync.Mutex
	used     int64
	byHolder map[string]int64
	// pieces are used again. Those of texts that end one after the other would otherwise leave
	// more to the garbage collector than the budget has.
	pieces sync.Pool
	// reclaim makes a use of the budget end, of a holder unless that is empty, and reports
	// whether there was one. It is nil if nothing can be reclaimed.
	reclaim func(holder string) bool
	// freed is closed when bytes are given back.
	freed chan struct{}
}

// reclaimTimeout bounds how long a lease waits until what is reclaimed has been given back.
const reclaimTimeout = 250 * time.Millisecond

// New returns a budget of total bytes, of which one holder gets at most perHolder.
func New(total, perHolder int64) *Budget {
	b := &Budget{total: total, perHolder: perHolder, byHolder: map[string]int64{}, freed: make(chan struct{})}
	b.pieces.New = func() any { return new([pieceSize]byte) }
	return b
}

// SetReclaim sets what makes a use of the budget end when another one finds no room.
func (b *Budget) SetReclaim(reclaim func(holder string) bool) { b.reclaim = reclaim }

// Reserve takes n bytes for a holder, and reports whether there was room for them.
func (b *Budget) Reserve(holder string, n int64) bool {
	if n <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.total || b.byHolder[holder]+n > b.perHolder {
		return false
	}
	b.used += n
	b.byHolder[holder] += n
	return true
}

// Release gives n bytes of a holder back.
func (b *Budget) Release(holder string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.byHolder[holder] -= n; b.byHolder[holder] <= 0 {
		delete(b.byHolder, holder)
	}
	if b.reclaim != nil {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// reserveReclaimed takes n bytes for a holder once they have been reclaimed from others, or
// from the same holder if it has its share. It reports whether there was room in time.
func (b *Budget) reserveReclaimed(holder string, n int64) bool {
	if b.reclaim == nil || n > b.perHolder {
		return false
	}
	end := time.NewTimer(reclaimTimeout)
	defer end.Stop()
	for {
		b.mu.Lock()
		freed, from := b.freed, ""
		if b.byHolder[holder]+n > b.perHolder {
			from = holder
		}
		b.mu.Unlock()
		if b.Reserve(holder, n) {
			return true
		}
		if !b.reclaim(from) {
			return false
		}
		select {
		case <-freed:
		case <-end.C:
			return false
		}
	}
}

// Used returns the number of bytes that all holders have.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Lease is what one user of a budget has reserved. It is not safe for concurrent use.
type Lease struct {
	budget *Budget
	holder string
	held   int64
	pieces []*[pieceSize]byte
}

// Lease returns an empty lease for a holder.
func (b *Budget) Lease(holder string) *Lease { return &Lease{budget: b, holder: holder} }

// Held returns the number of bytes reserved.
func (l *Lease) Held() int64 { return l.held }

// Add reserves n more bytes, and reports whether there was room for them.
func (l *Lease) Add(n int64) bool {
	if !l.budget.Reserve(l.holder, n) && !l.budget.reserveReclaimed(l.holder, n) {
		return false
	}
	l.held += n
	return true
}

// Sub gives n bytes back.
func (l *Lease) Sub(n int64) {
	l.held -= n
	l.budget.Release(l.holder, n)
}

// End gives all bytes back. No text that was read with the lease may be used any more.
func (l *Lease) End() {
	if l.held > 0 {
		l.Sub(l.held)
	}
	for _, p := range l.pieces {
		l.budget.pieces.Put(p)
	}
	l.pieces = nil
}

// Abandon is like End, but the text that was read with the lease may still be in use. Its
// memory is not used again.
func (l *Lease) Abandon() {
	l.pieces = nil
	l.End()
}

// ReadUpTo reads text up to its end, up to limit bytes, or until the budget has no more room,
// and reports whether it has reached the end. The first piece needs no room. The text may be
// used until the lease ends.
func (l *Lease) ReadUpTo(in io.Reader, limit int) (pieces [][]byte, whole bool, err error) {
	for total := 0; total <= limit; {
		if len(l.pieces) > 0 && !l.Add(pieceSize) {
			return pieces, false, nil
		}
		piece := l.budget.pieces.Get().(*[pieceSize]byte)
		l.pieces = append(l.pieces, piece)
		n, err := readFull(in, piece[:])
		total += n
		pieces = append(pieces, piece[:n])
		if err == io.EOF {
			return pieces, total <= limit, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return pieces, false, nil
}

// readFull is like [io.ReadFull], but returns io.EOF also after a part of p.
func readFull(in io.Reader, p []byte) (int, error) {
	for read := 0; ; {
		n, err := in.Read(p[read:])
		if read += n; err != nil || read == len(p) {
			return read, err
		}
	}
}

// Grow returns buf with room for at least one more byte, and false if the budget has none.
// The capacity of buf beyond free bytes is reserved; buffers of up to free bytes need no
// budget.
func (l *Lease) Grow(buf []byte, free int) ([]byte, bool) {
	if len(buf) < cap(buf) {
		return buf, true
	}
	size := max(2*cap(buf), free)
	if !l.Add(int64(size - free)) {
		return buf, false
	}
	grown := append(make([]byte, 0, size), buf...)
	if cap(buf) > free {
		l.Sub(int64(cap(buf) - free))
	}
	return grown, true
}
