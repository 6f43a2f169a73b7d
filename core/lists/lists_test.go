package lists

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

func decode(i mn.Item) (mn.Endpoint, error) {
	switch string(i.Value) {
	case "ready 1", "leaving 2", "ready 0 restarted":
		state, rest, _ := strings.Cut(string(i.Value), " ")
		e := mn.Endpoint{ID: mn.EndpointID(i.Key), State: mn.EndpointState(state), Heartbeat: int64(rest[0] - '0')}
		if strings.HasSuffix(rest, "restarted") {
			e.StartedAt = 1
		}
		return e, nil
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

const outageAfter = 1900 * mn.Millisecond

func item(key, value string) mn.Item { return mn.Item{Key: key, Value: []byte(value)} }

func filled(t *testing.T) *List {
	t.Helper()
	l := New(decode, outageAfter)
	l.MarkRead(1000)
	require.Empty(t, l.Replace([]mn.Item{item("a", "ready"), item("b", "ready"), item("c", "leaving")}, 1000))
	return l
}

func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	l := filled(t)
	l.MarkRead(1500)
	require.NoError(t, l.Apply(item("a", ""), 1500))
	require.Equal(t, []mn.EndpointID{"b", "c"}, ids(l, 1500))
}

func TestEntriesLostDuringOutageMayReturn(t *testing.T) {
	l := filled(t)
	l.MarkFailed()
	l.MarkRead(6000) // The feed had an outage of 5 s.
	for _, k := range []string{"a", "b", "c"} {
		require.NoError(t, l.Apply(item(k, ""), 6000))
	}
	require.Equal(t, []mn.EndpointID{"a", "b"}, ids(l, 6100), "a leaving endpoint does not stay")
	l.MarkRead(7000)
	require.NoError(t, l.Apply(item("a", "ready"), 7000))
	require.Equal(t, []mn.EndpointID{"a", "b"}, ids(l, 8000))
	require.Equal(t, []mn.EndpointID{"a"}, ids(l, 6000+relistWindow), "an entry that was not listed again is removed")
	require.NoError(t, l.Apply(item("a", ""), 9000))
	require.Empty(t, ids(l, 9000))
}

func TestReplaceAfterTruncatedHistory(t *testing.T) {
	l := filled(t)
	l.MarkRead(1500)
	l.Replace([]mn.Item{item("b", "leaving"), item("d", "ready")}, 1500)
	require.Equal(t, []mn.EndpointID{"b", "d"}, ids(l, 1500))
}

func TestUndecodableEntryNamesNoEndpoint(t *testing.T) {
	l := filled(t)
	require.Error(t, l.Apply(item("a", "junk"), 1100))
	require.Error(t, l.Apply(item("x", "junk"), 1100))
	require.Equal(t, []mn.EndpointID{"b", "c"}, ids(l, 1100))
}

// The feed rejects the fronts that usually read it. Another front reads it once its
// evidence is old; it has no sign of an outage, and the feed kept its entries.
func TestRareReadsAreNoOutage(t *testing.T) {
	l := filled(t)
	l.MarkRead(1000 + 2*outageAfter)
	require.NoError(t, l.Apply(item("a", ""), 1000+2*outageAfter))
	require.Equal(t, []mn.EndpointID{"b", "c"}, ids(l, 1000+2*outageAfter))

	l = filled(t) // A front that the feed rejected reads it soon after its peers did.
	l.MarkFailed()
	l.MarkRead(1000 + outageAfter)
	require.NoError(t, l.Apply(item("a", ""), 1000+outageAfter))
	require.Equal(t, []mn.EndpointID{"b", "c"}, ids(l, 1000+outageAfter))
}

// An entry may arrive after a newer one in which the endpoint leaves. It must not make
// the endpoint ready again.
func TestLateEntryDoesNotRestoreLeavingEndpoint(t *testing.T) {
	l := New(decode, outageAfter)
	l.MarkRead(1000)
	state := func() mn.EndpointState { return l.Endpoints(1000)[0].State }
	require.NoError(t, l.Apply(item("a", "ready 1"), 1000))
	require.NoError(t, l.Apply(item("a", "leaving 2"), 1000))
	require.Error(t, l.Apply(item("a", "ready 1"), 1000))
	require.Equal(t, mn.EndpointLeaving, state())
	require.NoError(t, l.Apply(item("a", ""), 1000))
	require.Error(t, l.Apply(item("a", "ready 1"), 1000))
	require.Empty(t, ids(l, 1000), "a late entry does not restore a removed endpoint")
	require.NoError(t, l.Apply(item("a", "ready 0 restarted"), 1000))
	require.Equal(t, mn.EndpointReady, state(), "a new run starts a new count of heartbeats")
}

// One front is partitioned from the feed while its peers can read it, and an endpoint
// leaves meanwhile. Since the front adopts its peers' lists, this is no outage, and the
// removed endpoint must not stay on the list.
func TestPartitionedFrontDoesNotRestoreRemovedEndpoint(t *testing.T) {
	l := filled(t)
	l.Adopt([]mn.Endpoint{{ID: "b", State: mn.EndpointReady}}, 2000)
	l.Adopt([]mn.Endpoint{{ID: "b", State: mn.EndpointReady}}, 3000)
	l.Adopt([]mn.Endpoint{{ID: "b", State: mn.EndpointReady}}, 4000)
	l.MarkRead(4500)
	l.Replace([]mn.Item{item("b", "ready")}, 4500)
	require.Equal(t, []mn.EndpointID{"b"}, ids(l, 4500))
	l.Adopt([]mn.Endpoint{{ID: "a", State: mn.EndpointReady}}, 4400)
	require.Equal(t, []mn.EndpointID{"b"}, ids(l, 4500), "an older list does not count")
}

func TestEntriesUnlistedAtPeerMayReturn(t *testing.T) {
	l := filled(t)
	l.Adopt([]mn.Endpoint{{ID: "a", State: mn.EndpointReady, Unlisted: true}}, 6000)
	l.MarkRead(6200)
	l.Replace(nil, 6200)
	require.Equal(t, []mn.EndpointID{"a"}, ids(l, 6200))
	require.Empty(t, ids(l, 6000+relistWindow))
}
