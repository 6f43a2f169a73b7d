// Package frame finds the heads of requests in the bytes of an HTTP/1 connection.
//
// Load pattern: one read returns the end of a body, a whole request, and the beginning of the
// next one. What a server keeps of a body and of a head differs many times over, so that bytes
// have to be told apart before their memory is counted.
package frame

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	// maxLine bounds what is kept of a line. No line that tells the length of a body is longer.
	maxLine = 128
	// maxChunk is the highest size of a chunk.
	maxChunk = 1 << 62
)

// state is what the next byte of a connection belongs to.
type state int

const (
	head state = iota
	// body is a body with a length, or a chunk with the line break after it.
	body
	chunkSize
	trailer
	// unknown means that the bytes are no request, which ends a connection. What follows counts
	// as part of a head.
	unknown
)

// Size is the size of a head.
type Size struct {
	Bytes int64
	Lines int64
}

// lineMemory is what a server keeps for a line of a head beside its text, in bytes.
const lineMemory = 160

// Memory returns what a server keeps of a head, in bytes. The text counts twice, since it is
// sent on.
func (s Size) Memory() int64 { return 2*s.Bytes + lineMemory*s.Lines }

// SizeOf returns the size of the head of a request that has been read.
func SizeOf(r *http.Request) Size {
	s := Size{Bytes: int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)), Lines: 3}
	for name, values := range r.Header {
		for _, v := range values {
			s.Bytes += int64(len(name) + len(v) + len(": \r\n"))
			s.Lines++
		}
	}
	return s
}

// Scanner follows the bytes that a client sends on a connection. The zero value is at the
// beginning of a head. It is not safe for concurrent use.
type Scanner struct {
	state state
	// inHead reports whether a head has begun and not ended, and size is what has arrived of it.
	inHead bool
	size   Size
	// line holds the beginning of the present line, and long reports whether that is not all of it.
	line []byte
	long bool
	// length is the length of the body that the head announces, -1 if none, and chunked reports
	// whether the body comes in chunks.
	length  int64
	chunked bool
	// left is what is left of a body or a chunk.
	left int64
}

// Unfinished returns the size of what has arrived of a head that has not ended.
func (s *Scanner) Unfinished() Size {
	if !s.inHead {
		return Size{}
	}
	return s.size
}

// Next takes bytes up to the end of a head, or all of p. It returns how many it has taken, and
// the size of the head if it has come to its end.
func (s *Scanner) Next(p []byte) (n int, size Size, ended bool) {
	for n < len(p) {
		if s.state == body {
			n += s.takeBody(p[n:])
			continue
		}
		text := p[n:]
		end := bytes.IndexByte(text, '\n')
		if end >= 0 {
			text = text[:end+1]
		}
		n += len(text)
		if s.takeText(text, end >= 0) {
			return n, s.size, true
		}
	}
	return n, Size{}, false
}

// takeBody takes bytes of a body or a chunk, and returns how many.
func (s *Scanner) takeBody(p []byte) int {
	n := min(s.left, int64(len(p)))
	if s.left -= n; s.left == 0 {
		s.state = head
		if s.chunked {
			s.state = chunkSize
		}
	}
	return int(n)
}

// takeText adds text to the present line, which it ends if whole is set. It reports whether a
// head has ended.
func (s *Scanner) takeText(text []byte, whole bool) bool {
	if s.state == head || s.state == unknown {
		if !s.inHead {
			s.inHead, s.size, s.length, s.chunked = true, Size{}, -1, false
		}
		s.size.Bytes += int64(len(text))
		if whole {
			s.size.Lines++
		}
	}
	kept := min(len(text), maxLine-len(s.line))
	s.line = append(s.line, text[:kept]...)
	s.long = s.long || kept < len(text)
	if !whole {
		return false
	}
	line, long := string(bytes.TrimRight(s.line, "\r\n")), s.long
	s.line, s.long = s.line[:0], false
	switch s.state {
	case head:
		return s.takeHeadLine(line, long)
	case chunkSize:
		s.takeChunkSize(line)
	case trailer:
		if line == "" {
			s.state = head
		}
	}
	return false
}

// takeHeadLine takes a line of a head, and reports whether it is the last one.
func (s *Scanner) takeHeadLine(line string, long bool) bool {
	if line == "" {
		s.inHead = false
		if s.size.Lines == 1 {
			return false // Servers skip line breaks before a request.
		}
		switch {
		case s.chunked:
			s.state = chunkSize
		case s.length > 0:
			s.state, s.left = body, s.length
		}
		return true
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 || long || s.length >= 0 && s.length != n {
			s.state = unknown
		}
		s.length = n
	case strings.EqualFold(name, "Transfer-Encoding"):
		if !strings.EqualFold(value, "chunked") || long {
			s.state = unknown
		}
		s.chunked = true
	}
	return false
}

// takeChunkSize takes the line before a chunk.
func (s *Scanner) takeChunkSize(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseInt(strings.TrimRight(size, " \t"), 16, 64)
	switch {
	case err != nil || n < 0 || n > maxChunk:
		s.state = unknown
	case n == 0:
		s.state = trailer
	default:
		s.state, s.left = body, n+int64(len("\r\n"))
	}
}
