package cmds

import (
	"bytes"
	"io"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	mn "mustardnotch"
)

func TestCodesPageIsCurrent(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, WriteCodes(&b))
	page, err := os.ReadFile("../docs/CODES.md")
	require.NoError(t, err)
	require.Equal(t, b.String(), string(page), "run make docs")
}

func TestEveryCommandShowsAnExample(t *testing.T) {
	var walk func(c *cli.Command)
	walk = func(c *cli.Command) {
		if len(c.Commands) == 0 {
			require.Contains(t, c.Description, "Example:", c.Name)
		}
		for _, sub := range c.Commands {
			walk(sub)
		}
	}
	walk(New(io.Discard, io.Discard))
}

func TestExitCodes(t *testing.T) {
	run := func(args ...string) error {
		return New(io.Discard, io.Discard).Run(t.Context(), append([]string{"mustardnotch"}, args...))
	}
	tests := []struct {
		name string
		err  error
		want int
	}{
		{"wrong argument", run("explain", "MN999"), ExitUsage},
		{"no argument", run("check"), ExitUsage},
		{"missing settings", run("entry", "--settings", "none.ini"), ExitUsage},
		{"neither model nor pool", run("call", "--entry", "http://127.0.0.1:1"), ExitUsage},
		{"rejected", mn.Errorf(mn.RateExceeded, "x"), ExitFailed},
		{"outcome unknown", mn.Errorf(mn.OutcomeNotKnown, "x"), ExitUnknown},
	}
	for _, tt := range tests {
		require.Error(t, tt.err, tt.name)
		require.Equal(t, tt.want, exitCode(tt.err), tt.name)
	}
}
