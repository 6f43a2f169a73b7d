package chart

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardnotch/load"
)

func TestWriteDrawsPNG(t *testing.T) {
	r := &load.Report{Label: "a", Seconds: []load.Second{{Sent: 3, InTime: 2}, {Sent: 4, InTime: 4}}}
	path := filepath.Join(t.TempDir(), "r.png")
	require.NoError(t, Write(path, r, r))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "\x89PNG", string(data[:4]))
}
