package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	mn "mustardnotch"
)

// drainPollInterval is the time between two checks whether a server's connections have ended.
const drainPollInterval = 5 * mn.Millisecond

// drainServer is an HTTP server that answers all requests it has read until it ends. The
// Shutdown of net/http drops those that it reads afterwards without an answer, which callers
// may not send again.
type drainServer struct {
	http.Server
	clock    mn.Clock
	listener net.Listener
	draining atomic.Bool
	// open is the number of connections.
	open atomic.Int64
}

func newDrainServer(clock mn.Clock, l net.Listener, s *http.Server) *drainServer {
	d := &drainServer{clock: clock, listener: l}
	d.Handler, d.ReadHeaderTimeout, d.IdleTimeout = s.Handler, s.ReadHeaderTimeout, s.IdleTimeout
	d.MaxHeaderBytes, d.ConnContext = s.MaxHeaderBytes, s.ConnContext
	d.ConnState = func(c net.Conn, state http.ConnState) {
		if s.ConnState != nil {
			s.ConnState(c, state)
		}
		switch state {
		case http.StateNew:
			d.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			d.open.Add(-1)
		}
	}
	return d
}

// serve serves until drain is called.
func (d *drainServer) serve() error {
	err := d.Serve(d.listener)
	if d.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return ignoreClosed(err)
}

// drain takes no new connections, closes the idle ones, and waits until the others have ended
// or ctx is done.
func (d *drainServer) drain(ctx context.Context) error {
	d.draining.Store(true)
	err := d.listener.Close()
	d.SetKeepAlivesEnabled(false)
	for d.open.Load() > 0 {
		if wait := d.clock.Sleep(ctx, drainPollInterval); wait != nil {
			return errors.Join(err, wait, d.Close())
		}
	}
	return errors.Join(err, d.Close())
}
