package conf

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

const hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const goodFile = `
[customer bank]
rate = 20.5
burst = 40

[model taalpers]
version = v7
max_tokens = 512

[pool taalpers]
kind = model
model = taalpers
fencing = true
max_endpoints = 9

[key bank-1]
hash = ` + hashA + `
customer = bank
`

// submitFile applies the resources of file to sm as one change and returns its
// error, nil if the change is valid.
func submitFile(t *testing.T, sm *StateMachine, file string, remove ...mn.ResourceName) *mn.Error {
	t.Helper()
	declared, err := ParseResources("f.ini", []byte(file))
	require.NoError(t, err)
	c, err := PlanChange(sm.View(), declared, remove)
	require.NoError(t, err)
	return submitChange(t, sm, c)
}

func submitChange(t *testing.T, sm *StateMachine, c mn.Change) *mn.Error {
	t.Helper()
	r := mn.Record{Version: 1, ID: mn.NewRecordID(), Change: &c}
	data, err := mn.EncodeRecord(&r)
	require.NoError(t, err)
	results, stop := sm.AwaitResult(r.ID)
	defer stop()
	require.NoError(t, sm.Apply([]mn.LogEntry{{Offset: sm.View().Offset + 1, Data: data}}))
	return (<-results).Err
}

func TestResourceFileRoundTrip(t *testing.T) {
	sm := New()
	require.Nil(t, submitFile(t, sm, goodFile))
	printed := PrintResources(SortedResources(sm.View()))
	declared, err := ParseResources("get", printed)
	require.NoError(t, err)
	require.Len(t, declared, 4)
	c, err := PlanChange(sm.View(), declared, nil)
	require.NoError(t, err)
	require.Empty(t, c.Edits, "the printed file must not change anything")
}

func TestResourceFileErrors(t *testing.T) {
	for _, c := range []struct{ file, want string }{
		{"[customer a]\nrate = 1\n", "section [customer a]: burst: missing"},
		{"[customer a]\nrate = fast\nburst = 1\n", `rate = "fast": want a number`},
		{"[customer a]\nrate = NaN\nburst = 1\n", `rate = "NaN": want a number`},
		{"[customer a]\nrate = -1\nburst = 1\n", `rate = "-1": want a number from 0`},
		{"[customer a]\nrate = 1\nrate = 2\nburst = 1\n", "rate: given 2 times"},
		{"[customer a]\nrate = 1\nburst = 1\nspeed = 1\n", "speed: unknown, want one of rate, burst"},
		{"[customer a]\nrate = 1\nburst = 1\n[customer a]\nrate = 1\nburst = 1\n", "appears twice"},
		{"[customer A!]\nrate = 1\nburst = 1\n", `name "A!": want`},
		{"[tenant a]\nrate = 1\n", `kind "tenant": want customer`},
		{"rate = 1\n", "section [DEFAULT]"},
		{"[customer a\n", "f.ini: "},
		{"[pool p]\nkind = model\n", "model: missing"},
		{"[pool p]\nkind = plain\nmodel = m\n", "want none in a pool of kind plain"},
		{"[pool p]\nkind = plain\nmin_endpoints = 3\nmax_endpoints = 2\n", "want at most max_endpoints"},
		{"[pool p]\nkind = plain\nopen = yes\n", `open = "yes": want true or false`},
		{"[key k]\ncustomer = a\nhash = 12\n", "want a SHA-256"},
		{"[key k]\ncustomer = a\nhash = " + hashA + "\nbase = x\n", "want the version printed by get"},
	} {
		_, err := ParseResources("f.ini", []byte(c.file))
		require.Error(t, err, c.file)
		require.Equal(t, mn.BadResource, mn.CodeOf(err), c.file)
		require.Contains(t, err.Error(), "f.ini")
		require.Contains(t, err.Error(), c.want)
	}
}

func TestReferencesAndWithdrawnKeys(t *testing.T) {
	sm := New()
	require.Nil(t, submitFile(t, sm, goodFile))
	withdrawn := "[key bank-1]\nhash = " + hashA + "\ncustomer = bank\nwithdrawn = true\n"
	require.Nil(t, submitFile(t, sm, withdrawn))
	customer := mn.ResourceName{Kind: mn.KindCustomer, Name: "bank"}
	model := mn.ResourceName{Kind: mn.KindModel, Name: "taalpers"}
	key := mn.ResourceName{Kind: mn.KindKey, Name: "bank-1"}
	renamed := strings.Replace(withdrawn[:strings.Index(withdrawn, "withdrawn")], "bank-1", "bank-2", 1)
	for name, err := range map[string]*mn.Error{
		"delete customer in use": submitFile(t, sm, "", customer),
		"delete model in use":    submitFile(t, sm, "", model),
		"unknown customer":       submitFile(t, sm, "[key k]\nhash = "+strings.Repeat("b", 64)+"\ncustomer = nobody\n"),
		"unknown model":          submitFile(t, sm, "[pool q]\nkind = model\nmodel = nothing\n"),
		"reissue withdrawn key":  submitFile(t, sm, goodFile),
		"same hash twice":        submitFile(t, sm, renamed),
		"rename to bring back":   submitFile(t, sm, renamed, key),
	} {
		require.NotNil(t, err, name)
		require.Equal(t, mn.BadResource, err.Code, name)
		require.True(t, sm.View().Keys[hashA].Withdrawn, name)
	}
	require.Nil(t, submitFile(t, sm, "", customer, key), "key and customer together")
}

func TestRacingChangesConflict(t *testing.T) {
	sm := New()
	require.Nil(t, submitFile(t, sm, goodFile))
	edit := func(rate float64) mn.Change {
		v := sm.View()
		c := v.Resources[mn.ResourceName{Kind: mn.KindCustomer, Name: "bank"}]
		bank := *c.Resource.Customer
		bank.Rate = rate
		r := mn.Resource{Customer: &bank}
		return mn.Change{Edits: []mn.Edit{{Name: r.Name(), Base: c.Version, Set: &r}}}
	}
	first, second := edit(1), edit(2)
	require.Nil(t, submitChange(t, sm, first))
	err := submitChange(t, sm, second)
	require.NotNil(t, err)
	require.Equal(t, mn.Conflict, err.Code)
	require.Contains(t, err.Detail, "at version 2")
	require.Contains(t, err.Detail, "based on version 1")
	bank, _ := sm.View().Customer("bank")
	require.EqualValues(t, 1, bank.Rate)
}

func TestUnreadableRecordStopsTheStateMachine(t *testing.T) {
	sm := New()
	require.Nil(t, submitFile(t, sm, goodFile))
	err := sm.Apply([]mn.LogEntry{{Offset: 2, Data: []byte(`{"version":2,"id":"x"}`)}, {Offset: 3, Data: []byte(`{}`)}})
	require.Equal(t, mn.UnknownRecord, mn.CodeOf(err))
	require.EqualValues(t, 1, sm.View().Offset)
}

func FuzzParseResources(f *testing.F) {
	f.Add(goodFile)
	f.Add("[customer a]\nrate=1\nburst=1e3 ; x\n\x00[key k]")
	f.Add("[pool p]\nkind = \"\"\"model\nmodel=\\\n")
	f.Fuzz(func(t *testing.T, file string) {
		declared, err := ParseResources("f", []byte(file))
		if err != nil {
			require.Equal(t, mn.BadResource, mn.CodeOf(err))
			return
		}
		var all []mn.Versioned
		for _, d := range declared {
			all = append(all, mn.Versioned{Resource: d.Resource, Version: d.Base})
		}
		again, err := ParseResources("printed", PrintResources(all))
		require.NoError(t, err)
		require.Len(t, again, len(declared))
		for i := range again {
			require.Equal(t, declared[i].Resource, again[i].Resource)
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"version":1,"id":"a","change":{"edits":[{"name":{"kind":"key","name":"k"},"base":0,"set":{}}]}}`))
	f.Add([]byte(`{"version":1,"id":"a","claim":{"span":1}}`))
	f.Add([]byte(`{"version":1,"id":"a","snapshot":{"as_of":99,"resources":[{"resource":{},"version":1}]}}`))
	f.Add([]byte(`{"version":1,"id":"a","change":{"edits":[{"name":{"kind":"","name":""},"set":{}}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		sm := New()
		if err := sm.Apply([]mn.LogEntry{{Offset: 1, Data: data}}); err != nil {
			require.Equal(t, mn.UnknownRecord, mn.CodeOf(err))
			require.Zero(t, sm.View().Offset)
			return
		}
		restored := New()
		restored.Restore(sm.Snapshot())
		require.Equal(t, asJSON(t, sm.Snapshot()), asJSON(t, restored.Snapshot()))
	})
}
