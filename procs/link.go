package procs

import (
	"errors"
	"io"
	"maps"
	"net"
	"sync"
	"syscall"
)

// bufferSize is the maximum size of one read, in bytes.
const bufferSize = 16 << 10

// Link is a TCP forwarder that can be partitioned. While it is, it holds back
// bytes and delivers them once it is restored, as TCP does over a network that
// drops packets for a while.
type Link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	partitioned map[string]bool
	changed     chan struct{}
	conns       map[*pipe]bool
	closed      bool
	bytes       map[string]int64
}

// pipe is a forwarded connection.
type pipe struct {
	source   string
	from, to net.Conn
	// blackholed is set if all further bytes are dropped. The link doesn't pass on
	// the end of such a connection either: only Close closes it.
	blackholed bool
}

// anySource stands for all source addresses in Link.partitioned.
const anySource = "*"

// NewLink forwards connections from addr to target.
func NewLink(addr, target string) (*Link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Link{target: target, listener: l, partitioned: map[string]bool{}, changed: make(chan struct{}), conns: map[*pipe]bool{}, bytes: map[string]int64{}}
	go k.accept()
	return k, nil
}

// Partition holds back the bytes of all connections until Restore.
func (k *Link) Partition() { k.setPartitioned(anySource, true) }

// Restore reverts Partition. Bytes held back are delivered.
func (k *Link) Restore() { k.setPartitioned(anySource, false) }

// PartitionFrom holds back the bytes of connections opened from the address ip,
// in both directions, until RestoreFrom.
func (k *Link) PartitionFrom(ip string) { k.setPartitioned(ip, true) }

// RestoreFrom reverts PartitionFrom.
func (k *Link) RestoreFrom(ip string) { k.setPartitioned(ip, false) }

func (k *Link) setPartitioned(source string, partitioned bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.partitioned[source] = partitioned
	close(k.changed)
	k.changed = make(chan struct{})
}

// Blackhole drops all further bytes of the connections that are open now, and
// returns their number. New connections work.
func (k *Link) Blackhole() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		p.blackholed = true
	}
	return len(k.conns)
}

// Bytes returns how many bytes the link has read from connections, in both
// directions, by the IP address that opened them. It includes bytes that were held
// back or dropped.
func (k *Link) Bytes() map[string]int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.bytes)
}

func (k *Link) countBytes(source string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bytes[source] += int64(n)
}

// Close closes the link and all of its connections.
func (k *Link) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.listener.Close()
	for p := range k.conns {
		p.from.Close()
		p.to.Close()
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Link) accept() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(from)
	}
}

func (k *Link) forward(from net.Conn) {
	source, _, _ := net.SplitHostPort(from.RemoteAddr().String())
	probe := &pipe{source: source}
	if k.waitWhilePartitioned(probe) != forwardBytes {
		from.Close()
		return
	}
	to, err := net.Dial("tcp", k.target)
	if err != nil {
		from.Close()
		return
	}
	p := &pipe{source: source, from: from, to: to}
	k.mu.Lock()
	k.conns[p] = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.copy(p, to, from) })
	wg.Go(func() { k.copy(p, from, to) })
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
}

// copy forwards bytes of p from src to dst until the connection ends.
func (k *Link) copy(p *pipe, dst, src net.Conn) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		k.countBytes(p.source, n)
		switch k.waitWhilePartitioned(p) {
		case dropBytes:
			if err != nil {
				return
			}
			continue
		case closePipe:
			err = io.EOF
		default:
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if tcp, ok := dst.(*net.TCPConn); ok && errors.Is(err, syscall.ECONNRESET) {
				_ = tcp.SetLinger(0) // A reset is passed on as one, unless dst has ended already.
			}
			dst.Close()
			src.Close()
			return
		}
	}
}

// verdict is what to do with bytes read from a connection.
type verdict int

const (
	forwardBytes verdict = iota
	dropBytes
	closePipe
)

// waitWhilePartitioned blocks while p is partitioned, and returns what to do with
// its bytes then.
func (k *Link) waitWhilePartitioned(p *pipe) verdict {
	for {
		k.mu.Lock()
		closed, blackholed := k.closed, p.blackholed
		partitioned := k.partitioned[anySource] || k.partitioned[p.source]
		changed := k.changed
		k.mu.Unlock()
		switch {
		case closed:
			return closePipe
		case blackholed:
			return dropBytes
		case !partitioned:
			return forwardBytes
		}
		<-changed
	}
}
