package event

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFirstAndWhole(t *testing.T) {
	tests := map[string]struct {
		text         string
		first, whole int
	}{
		"empty":               {"", 0, 0},
		"no blank line":       {"id: 1\ndata: x\n", 0, 0},
		"one":                 {"id: 1\n\n", 7, 7},
		"two and a part":      {"a\n\nb\n\nc\n", 3, 6},
		"CR LF":               {"a\r\n\r\nb\r\n\r\nc\r\n", 5, 10},
		"LF, then CR LF":      {"a\n\r\nb", 4, 4},
		"CR LF, then LF":      {"a\r\n\nb", 4, 4},
		"CR LF and LF events": {"a\n\nb\r\n\r\nc", 3, 8},
		"CR LF cut in two":    {"a\r\n\r", 0, 0},
		"blank line too many": {"a\n\n\nb\n\n", 3, 7},
		"blank line in front": {"\r\na\n\n", 2, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.first, First([]byte(tt.text)))
			require.Equal(t, tt.whole, Whole([]byte(tt.text)))
		})
	}
}

// However a text arrives, the same events are found in it.
func TestEventsDontDependOnHowTextArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(rapid.StringOfN(rapid.SampledFrom([]rune("a:\r\n")), 0, 40, -1).Draw(t, "text"))
		var want, got []string
		for rest := text; First(rest) > 0; rest = rest[First(rest):] {
			want = append(want, string(rest[:First(rest)]))
		}
		var buf []byte
		for rest := text; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			buf, rest = append(buf, rest[:n]...), rest[n:]
			whole := Whole(buf)
			for at := 0; at < whole; {
				end := at + First(buf[at:])
				got = append(got, string(buf[at:end]))
				at = end
			}
			buf = buf[whole:]
		}
		require.Equal(t, want, got)
	})
}

func TestCheck(t *testing.T) {
	for _, sound := range []string{
		"data: x\n\n", "id:1\ndata:{\"a b\": 1}\n\n", ": comment with spaces\n\n", "data\n\n", "x-version: 7\r\nid: 1\r\n\r\n",
		"\ufeffdata: x\n\n", "data: HTTP/1.1 200 OK\n\n", "\n\n",
	} {
		require.NoError(t, Check([]byte(sound)), "%q", sound)
	}
	for _, other := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "Internal Server Error\n\n", "{\"error\": \"x\"}\n\n", "data: x\n<html>\n\n", "\x00\x01\n\n", "data: x\nnot a field: y\n\n",
	} {
		require.Error(t, Check([]byte(other)), "%q", other)
	}
}

func TestIsComment(t *testing.T) {
	require.True(t, IsComment([]byte(": keep\n\n")))
	require.True(t, IsComment([]byte(": a\r\n: b\r\n\r\n")))
	require.False(t, IsComment([]byte(": a\ndata: x\n\n")))
}
