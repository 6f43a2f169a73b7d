package wire

import (
	"fmt"
	"io"
	"net"
	"time"

	mn "mustardnotch"
)

// writeGrace is how long a write may take to return once reading has reached the end of the
// connection.
const writeGrace = 100 * mn.Millisecond

// tcpConn is a connection on which a reset is never read as an orderly end. The operating
// system reports the error of a connection once: if a write gets it, a read sees the end only.
type tcpConn struct {
	*net.TCPConn
	// writing holds a value while a write is in progress. It guards writeErr.
	writing  chan struct{}
	writeErr error
}

func newTCPConn(c *net.TCPConn) *tcpConn {
	return &tcpConn{TCPConn: c, writing: make(chan struct{}, 1)}
}

// Write implements [io.Writer].
func (c *tcpConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements [io.Reader].
func (c *tcpConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if no write has failed.
func (c *tcpConn) checkEnd() error {
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
	case <-time.After(writeGrace.Duration()):
		return fmt.Errorf("%w: the peer has ended the connection during a write", io.ErrUnexpectedEOF)
	}
	if c.writeErr != nil {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, c.writeErr)
	}
	return io.EOF
}

// ReadFrom implements [io.ReaderFrom] by Write.
func (c *tcpConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo implements [io.WriterTo] by Read.
func (c *tcpConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}
