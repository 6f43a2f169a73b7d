// Package event finds and checks the events of a text/event-stream.
package event

import (
	"bytes"
	"fmt"
)

// byteOrderMark may stand in front of the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// First returns the length of the first event of text with the blank line that ends it, 0 if
// text has no complete event. A blank line in front of an event counts as an empty event.
func First(text []byte) int {
	for at := 0; ; {
		if n := blankLine(text[at:]); n > 0 {
			return at + n
		}
		n := bytes.IndexByte(text[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
	}
}

// blankLine returns the length of the blank line at the beginning of text, 0 if there is none.
func blankLine(text []byte) int {
	switch {
	case bytes.HasPrefix(text, []byte("\n")):
		return 1
	case bytes.HasPrefix(text, []byte("\r\n")):
		return 2
	}
	return 0
}

// Whole returns the length of all complete events at the beginning of text.
func Whole(text []byte) int {
	whole := 0
	for n := First(text); n > 0; n = First(text[whole:]) {
		whole += n
	}
	return whole
}

// Check returns an error unless each line of an event is a field or a comment. Text that an
// endpoint in trouble sends in a stream, such as the head of an answer, is neither.
func Check(event []byte) error {
	event = bytes.TrimPrefix(event, byteOrderMark)
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, _ := bytes.Cut(line, []byte(":"))
		if i := bytes.IndexFunc(name, func(r rune) bool { return !isNameRune(r) }); i >= 0 {
			return fmt.Errorf("line %.40q is no field of an event", line)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
}

// IsComment reports whether an event has only comments, as endpoints send them to keep a
// connection open.
func IsComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
