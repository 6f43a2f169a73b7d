package back

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
)

// maxInlineRequest is the size in bytes up to which a request is written before its
// answer is read. A longer one is written while the answer is read, since an
// endpoint may answer before it has read the complete body.
const maxInlineRequest = 16 << 10

// maxForeignAnswers bounds how many answers to earlier requests on the connection
// are skipped.
const maxForeignAnswers = 4

// Call is a request to an endpoint.
type Call struct {
	ID     mn.RequestID
	To     mn.Endpoint
	Method string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the body in pieces.
	Body [][]byte
	// MaxIdleTime is how long a connection may have been idle to be used again.
	MaxIdleTime mn.Millis
	// MaxIdleConns bounds the idle connections that are kept to the endpoint. If it
	// is 0, the client's own bound applies.
	MaxIdleConns int
}

// Error is the error of a call that got no answer.
type Error struct {
	// Sent reports whether bytes of the request may have reached the endpoint.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Sent {
		return "request sent, no answer: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Answer is an endpoint's answer. Its body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	mn.ReplyInfo
	// Skipped is how many answers to other requests arrived first on the connection.
	Skipped int

	client  *Client
	addr    string
	maxIdle int
	conn    *conn
	resp    *http.Response
	// writeErr receives the result of writing the request.
	writeErr chan error
	// stop detaches the connection from the context of the call.
	stop func() bool
	// complete reports whether the complete body was read.
	complete bool
	memory   *alloc.Lease
}

// Do sends call and returns its answer as soon as the headers have arrived. Its
// error is an [Error]. When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, d mn.Dialect, call *Call) (*Answer, error) {
	conn, err := c.get(ctx, call.To.Addr, call.ID, call.MaxIdleTime)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	memory := c.memory.Lease(call.To.Addr)
	conn.limiter.beginHeads(memory)
	a, err := c.exchange(ctx, d, conn, call)
	if err != nil {
		stop()
		conn.Close()
		memory.End()
		return nil, &Error{Sent: true, Err: errors.Join(err, context.Cause(ctx))}
	}
	// A misdirected request may have reached another endpoint, which speaks for itself.
	if c.observer != nil && a.Status != http.StatusMisdirectedRequest {
		c.observer.ObserveReply(call.To, a.ReplyInfo)
	}
	a.stop, a.memory = stop, memory
	return a, nil
}

// exchange writes call to conn and reads the head of its answer.
func (c *Client) exchange(ctx context.Context, d mn.Dialect, conn *conn, call *Call) (*Answer, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline.Add(time.Second)); err != nil {
			return nil, err
		}
	}
	var head bytes.Buffer
	if err := call.head(&head); err != nil {
		return nil, err
	}
	req := &http.Request{Method: call.Method}
	first := len(conn.carried) == 0
	conn.carried = append(conn.carried, call.ID)
	writeErr := make(chan error, 1)
	if head.Len()+call.bodySize() <= maxInlineRequest {
		for _, piece := range call.Body {
			head.Write(piece)
		}
		_, err := conn.Write(head.Bytes())
		writeErr <- err
	} else {
		go func() {
			_, err := conn.Write(head.Bytes())
			if err == nil {
				err = writePieces(conn, call.Body)
			}
			writeErr <- err
		}()
	}
	for skipped := 0; skipped <= maxForeignAnswers; skipped++ {
		resp, err := readFinal(conn, req)
		if err != nil {
			return nil, err
		}
		info := d.ParseReply(resp.StatusCode, resp.Header)
		own, err := call.owns(info, first)
		if err != nil {
			return nil, err
		}
		if own {
			conn.limiter.endHeads() // The body has limits of its own.
			return &Answer{Status: resp.StatusCode, Header: resp.Header, ReplyInfo: info, Skipped: skipped,
				client: c, addr: call.To.Addr, maxIdle: call.MaxIdleConns, conn: conn, resp: resp, writeErr: writeErr}, nil
		}
		// A body of an answer to another request counts like heads.
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("answer to request %s: %w", info.ID, err)
		}
	}
	return nil, fmt.Errorf("more than %d answers to other requests", maxForeignAnswers)
}

// owns reports whether an answer belongs to the call, which is the first one on its
// connection if first is set. It is the only place that decides this. The connection has
// not carried a request with the id of the call before, so an answer with that id can't be
// an earlier one that comes once more. An answer without an id may be the rest of an
// earlier one unless there was none.
func (call *Call) owns(info mn.ReplyInfo, first bool) (bool, error) {
	switch {
	case info.ID == "" && info.Signed && call.ID != "":
		return false, errors.New("signed answer has no request id")
	case info.ID == "" && call.ID != "" && !first:
		return false, errors.New("answer on a connection that was used before has no request id")
	}
	return info.ID == "" || info.ID == call.ID, nil
}

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// readFinal reads an answer and skips interim ones. An answer whose status is none of HTTP, or
// that switches to a protocol which no request asks for, is no answer, and none follows it.
func readFinal(conn *conn, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.ProtoMajor != 1 {
			return nil, fmt.Errorf("answer has unsupported protocol version %q", resp.Proto)
		}
		switch status := resp.StatusCode; {
		case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("answer has status %03d, which ends no request", status)
		case status >= http.StatusOK:
			return resp, nil
		}
	}
}

// head writes the request line and the headers. It does not use net/http, so that
// the target stays as the caller sent it.
func (call *Call) head(out *bytes.Buffer) error {
	fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	if err := call.Header.WriteSubset(out, map[string]bool{"Host": true, "Content-Length": true}); err != nil {
		return err
	}
	size := call.bodySize()
	if size > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		fmt.Fprintf(out, "Content-Length: %d\r\n", size)
	}
	out.WriteString("\r\n")
	return nil
}

// bodySize returns the length of the body.
func (call *Call) bodySize() int {
	size := 0
	for _, piece := range call.Body {
		size += len(piece)
	}
	return size
}

func writePieces(w io.Writer, pieces [][]byte) error {
	for _, piece := range pieces {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// Read reads the body. It returns io.EOF at the end of a complete body; any other
// error means that the body is truncated.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// Complete reports whether the complete body was read.
func (a *Answer) Complete() bool { return a.complete }

// EndsWithConn reports whether the body has neither a length nor chunks, so that its end is
// that of the connection.
func (a *Answer) EndsWithConn() bool {
	return a.resp.ContentLength < 0 && len(a.resp.TransferEncoding) == 0 && a.resp.Request.Method != http.MethodHead
}

// Framing says how the end of the body is marked: by its length, by chunks, or by the end of
// the connection.
func (a *Answer) Framing() string {
	switch {
	case a.EndsWithConn():
		return "connection"
	case a.resp.ContentLength >= 0:
		return "length"
	}
	return "chunks"
}

// ErrNoMemory is the error for an answer for which there is no more memory, because the
// endpoint's answers, or those of all endpoints, take as much as they may.
var ErrNoMemory = errors.New("answers take too much memory")

// ReadUpTo is like [alloc.Lease.ReadUpTo] for the body, which may be used until the answer is
// closed.
func (a *Answer) ReadUpTo(limit int) (pieces [][]byte, whole bool, err error) {
	return a.memory.ReadUpTo(a, limit)
}

// ReadAll reads the complete body, which must not be longer than limit bytes.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	pieces, whole, err := a.ReadUpTo(limit)
	if err != nil {
		return nil, err
	}
	if !whole && len(pieces)*len(pieces[0]) > limit {
		return nil, fmt.Errorf("answer is longer than %d bytes", limit)
	}
	if !whole {
		return nil, ErrNoMemory
	}
	return bytes.Join(pieces, nil), nil
}

// ReadResult is like [Answer.ReadAll], and returns an error unless the status is
// 200.
func (a *Answer) ReadResult(limit int) ([]byte, error) {
	if a.Status != http.StatusOK {
		return nil, errors.Join(fmt.Errorf("status %d", a.Status), a.Discard())
	}
	return a.ReadAll(limit)
}

const (
	// maxDiscarded bounds a body that is read only so that the connection can be used again, and
	// discardTimeout how long its end is waited for. It usually comes with the head.
	maxDiscarded   = 64 << 10
	discardTimeout = 50 * mn.Millisecond
)

// Discard reads the body without keeping it. One that is long, or doesn't end soon, is left.
func (a *Answer) Discard() error {
	if err := a.conn.SetReadDeadline(time.Now().Add(discardTimeout.Duration())); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a, maxDiscarded+1))
	if err == nil && n > maxDiscarded {
		err = fmt.Errorf("answer is longer than %d bytes", maxDiscarded)
	}
	return err
}

// Grow is like [alloc.Lease.Grow] for a buffer with parts of the body.
func (a *Answer) Grow(buf []byte, free int) ([]byte, bool) { return a.memory.Grow(buf, free) }

// TakeMemory returns the answer's memory, which then outlasts the answer.
func (a *Answer) TakeMemory() *alloc.Lease {
	m := a.memory
	a.memory = a.client.memory.Lease(a.addr)
	return m
}

// Close ends the answer. The connection is used again only if the complete answer
// was read, nothing follows it, and the complete request was written.
func (a *Answer) Close() {
	a.memory.End()
	if !a.stop() || !a.complete || a.resp.Close || a.Closing || a.Leaving || a.Skipped > 0 || a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	select {
	case err := <-a.writeErr:
		if err != nil {
			a.conn.Close()
			return
		}
	default:
		a.conn.Close()
		return
	}
	a.client.put(a.addr, a.conn, a.KeepAlive, a.maxIdle)
}
