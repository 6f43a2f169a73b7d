package lists

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

func decode(i mn.Item) (mn.Endpoint, error) {
	switch string(i.Value) {
	case "ready", "leaving":
		return mn.Endpoint{ID: mn.EndpointID(i.Key), State: mn.EndpointState(i.Value)}, nil
	}
	return mn.Endpoint{}, errors.New("unreadable")
}

func ids(l *List, now mn.Millis) (out []mn.EndpointID) {
	for _, e := range l.Endpoints(now) {
		out = append(out, e.ID)
	}
	return out
}

func item(key, value string) mn.Item { return mn.Item{Key: key, Value: []byte(value)} }

func filled(t *testing.T) *List {
	t.Helper()
	l := New(decode)
	l.Read(1000)
	require.Empty(t, l.Replace([]mn.Item{item("a", "ready"), item("b", "ready"), item("c", "leaving")}, 1000))
	return l
}

func TestEntryRemovedInCalmTimesIsGoneAtOnce(t *testing.T) {
	l := filled(t)
	l.Read(1500)
	require.NoError(t, l.Apply(item("a", ""), 1500))
	require.Equal(t, []mn.EndpointID{"b", "c"}, ids(l, 1500))
}

func TestEntriesLostAroundAnOutageMayComeBack(t *testing.T) {
	l := filled(t)
	l.Read(6000) // The feed was away for 5 s.
	for _, k := range []string{"a", "b", "c"} {
		require.NoError(t, l.Apply(item(k, ""), 6000))
	}
	require.Equal(t, []mn.EndpointID{"a", "b"}, ids(l, 6100), "a leaving endpoint does not stay")
	l.Read(7000)
	require.NoError(t, l.Apply(item("a", "ready"), 7000))
	require.Equal(t, []mn.EndpointID{"a", "b"}, ids(l, 8000))
	require.Equal(t, []mn.EndpointID{"a"}, ids(l, 6000+returnSpan), "an entry that is not back is gone")
	require.NoError(t, l.Apply(item("a", ""), 9000))
	require.Empty(t, ids(l, 9000))
}

func TestListReadAnewAfterForgottenHistory(t *testing.T) {
	l := filled(t)
	l.Read(1500)
	l.Replace([]mn.Item{item("b", "leaving"), item("d", "ready")}, 1500)
	require.Equal(t, []mn.EndpointID{"b", "d"}, ids(l, 1500))
}

func TestEntryOfAnotherWriterNamesNobody(t *testing.T) {
	l := filled(t)
	require.Error(t, l.Apply(item("a", "junk"), 1100))
	require.Error(t, l.Apply(item("x", "junk"), 1100))
	require.Equal(t, []mn.EndpointID{"b", "c"}, ids(l, 1100))
}
