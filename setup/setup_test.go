package setup

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

const validEntry = `[process]
vm = entry-1
data_centre = tiel-a
[listen]
callers = 127.0.0.1:7001
operators = 127.0.0.1:7002
peers = 127.0.0.1:7003
debug = 127.0.0.1:7004
[platform]
url = http://127.0.0.1:7100
[operators]
token = 0123456789abcdef
`

func TestParseValidFile(t *testing.T) {
	s, err := Parse("e.ini", []byte(validEntry), mn.RoleEntry)
	require.NoError(t, err)
	require.Equal(t, mn.VMID("entry-1"), s.VM)
	require.Equal(t, 30*mn.Second, s.DrainTimeout)
	require.Equal(t, "none", s.TraceExporter)
}

func TestParseErrorsNameFileSectionAndFormat(t *testing.T) {
	tests := []struct {
		name, from, to string
		want           []string
	}{
		{"unknown name", "vm =", "vn = x\nvm =", []string{"e.ini", "[process] vn", "unknown name"}},
		{"unknown section", "[platform]", "[extra]\na = 1\n[platform]", []string{"e.ini", "[extra]", "unknown section"}},
		{"before sections", "[process]", "loose = 1\n[process]", []string{"e.ini", "loose", "before the first section"}},
		{"missing", "vm = entry-1", "", []string{"[process] vm", "missing"}},
		{"bad unit", "vm =", "drain = 30\nvm =", []string{"[process] drain", `"30"`, "1500ms or 30s"}},
		{"bad address", "127.0.0.1:7001", "localhost:7001", []string{"[listen] callers", "IP address"}},
		{"no port", "127.0.0.1:7001", "127.0.0.1", []string{"[listen] callers", "IP address"}},
		{"same address", "127.0.0.1:7002", "127.0.0.1:7001", []string{"[listen] operators", "also used for callers"}},
		{"bad URL", "http://127.0.0.1:7100", "ftp://127.0.0.1:7100", []string{"[platform] url", "scheme"}},
		{"short token", "0123456789abcdef", "short", []string{"[operators] token", "16 characters"}},
		{"control character", "entry-1", "entry\x01", []string{"[process] vm", "not allowed"}},
		{"given twice", "vm = entry-1", "vm = entry-1\nvm = entry-2", []string{"[process] vm", "2 times"}},
		{"trace without target", "[operators]", "[trace]\nexporter = file\n[operators]", []string{"[trace] target", "missing"}},
		{"agent's section", "[operators]", "[endpoint]\npool = a\n[operators]", []string{"[endpoint]", "unknown section for entry"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data := strings.Replace(validEntry, tt.from, tt.to, 1)
			require.NotEqual(t, validEntry, data)
			_, err := Parse("e.ini", []byte(data), mn.RoleEntry)
			require.Equal(t, mn.BadSetting, mn.CodeOf(err))
			for _, w := range tt.want {
				require.ErrorContains(t, err, w)
			}
		})
	}
}

func TestConflictsBetweenProcesses(t *testing.T) {
	a, err := Parse("a.ini", []byte(validEntry), mn.RoleEntry)
	require.NoError(t, err)
	b, err := Parse("b.ini", []byte(strings.Replace(validEntry, "entry-1", "entry-2", 1)), mn.RoleEntry)
	require.NoError(t, err)
	require.ErrorContains(t, CheckConflicts([]*Settings{a, b}), "b.ini: [listen] callers: address 127.0.0.1:7001 is also used by a.ini")
	require.ErrorContains(t, CheckConflicts([]*Settings{a, a}), "[process] vm: entry-1 is also used by a.ini")
	require.NoError(t, CheckConflicts([]*Settings{a}))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Add([]byte("[process]\nvm = \"\"\"a\n[[\n"))
	f.Add([]byte("[a]\n= b\n%(x)s"))
	f.Add([]byte("[process]\nvm = %(vm)s\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f.ini", data, mn.RoleEntry)
		if err != nil {
			require.Equal(t, mn.BadSetting, mn.CodeOf(err))
			return
		}
		require.NoError(t, checkName(string(s.VM)))
		require.NoError(t, checkAddr(s.CallerAddr))
	})
}

func TestExampleSettingsAreValid(t *testing.T) {
	e, err := Load("../docs/examples/entry.ini", mn.RoleEntry)
	require.NoError(t, err)
	a, err := Load("../docs/examples/agent.ini", mn.RoleAgent)
	require.NoError(t, err)
	require.NoError(t, CheckConflicts([]*Settings{e, a}))
}
