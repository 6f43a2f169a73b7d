//go:build review

package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// firstRetry is the time after which TCP sends a lost segment again; it doubles each time.
const firstRetry = 200 * time.Millisecond

// link is a network link from one front to the platform. While it is cut it passes nothing
// on, as a network that drops packets. What was sent on an open connection arrives with the
// first repetition of TCP after the link has healed, also if its sender has closed the
// connection since then, unless it reset it. A connection that is opened during the cut is
// not established before the link has healed.
type link struct {
	target string
	// onSend is called with what the front sends, before it is passed on.
	onSend func([]byte)

	mu      sync.Mutex
	cut     bool
	healed  time.Time
	changed chan struct{}
}

// newLink returns a link to target and the address at which the front finds it.
func newLink(target string) (*link, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	k := &link{target: target, changed: make(chan struct{}), onSend: func([]byte) {}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k, l.Addr().String(), nil
}

func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if !cut {
		k.healed = time.Now()
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// await waits until the link is not cut, and reports whether it was.
func (k *link) await() (waited bool) {
	for {
		k.mu.Lock()
		cut, changed := k.cut, k.changed
		k.mu.Unlock()
		if !cut {
			return waited
		}
		waited = true
		<-changed
	}
}

// awaitRepetition waits until what was sent at the instant sent passes the link.
func (k *link) awaitRepetition(sent time.Time) {
	if !k.await() {
		return
	}
	at, wait := sent, firstRetry
	for at.Before(time.Now()) {
		at, wait = at.Add(wait), 2*wait
	}
	time.Sleep(time.Until(at))
}

// forward forwards a connection of the front.
func (k *link) forward(from net.Conn) {
	defer from.Close()
	if k.await() {
		// The front may have closed it before it could be established.
		_ = from.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := from.Read(nil); errors.Is(err, io.EOF) {
			return
		}
		if gone(from) {
			return
		}
		_ = from.SetReadDeadline(time.Time{})
	}
	to, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer to.Close()
	go k.copy(from, to, func([]byte) {})
	k.copy(to, from, k.onSend)
}

// gone reports whether the front has closed a connection on which nothing was passed on.
func gone(c net.Conn) bool {
	buf := make([]byte, 64<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Read(buf); err != nil {
			var timeout net.Error
			return !(errors.As(err, &timeout) && timeout.Timeout())
		}
	}
}

// copy passes on what src sends until it ends. The end follows what was sent before it.
func (k *link) copy(dst, src net.Conn, onSend func([]byte)) {
	type piece struct {
		data []byte
		sent time.Time
	}
	pieces := make(chan piece, 1024)
	reset := make(chan struct{})
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				onSend(buf[:n])
				pieces <- piece{buf[:n], time.Now()}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					close(reset)
				}
				return
			}
		}
	}()
	for p := range pieces {
		k.awaitRepetition(p.sent)
		select {
		case <-reset:
			dst.Close()
			return
		default:
		}
		if _, err := dst.Write(p.data); err != nil {
			return
		}
	}
	if c, ok := dst.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
}
