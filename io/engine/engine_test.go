package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// Guards against an agent that keeps a chunk without end until it is out of memory.
func TestChunkWithoutEndIsCutOff(t *testing.T) {
	const maxTaken = 16 << 20 // includes the buffers of both sockets
	var taken atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text := `{"text":"`
		for taken.Load() < 4*maxTaken {
			n, err := io.WriteString(w, text)
			if err != nil {
				return
			}
			taken.Add(int64(n))
			text = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
		}
	}))
	defer s.Close()
	err := New(s.URL).Generate(t.Context(), mn.Generation{}, func(mn.OutputChunk) error { return nil })
	require.Error(t, err)
	require.LessOrEqual(t, taken.Load(), int64(maxTaken))
}

// Many chunks, each within the bound, are a sound answer.
func TestLongAnswerIsRead(t *testing.T) {
	const chunks = 3000
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := `{"text":"` + strings.Repeat("x", 1000) + `"}` + "\n"
		_, _ = io.WriteString(w, strings.Repeat(chunk, chunks-1)+`{"last":true}`) // A failure shows in the count.
	}))
	defer s.Close()
	got := 0
	require.NoError(t, New(s.URL).Generate(t.Context(), mn.Generation{}, func(mn.OutputChunk) error { got++; return nil }))
	require.Equal(t, chunks, got)
}
