package conf

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

// replayVersions returns the versions of the resources after log. It is a
// reference implementation that replays every change from the start, and knows
// nothing of batches, repeats in transit or snapshots.
func replayVersions(log []mn.LogEntry) map[mn.ResourceName]mn.Offset {
	versions := map[mn.ResourceName]mn.Offset{}
	seen := map[mn.RecordID]bool{}
	for _, e := range log {
		r, _ := mn.DecodeRecord(e.Data)
		if r.Change == nil || seen[r.ID] {
			continue
		}
		seen[r.ID] = true
		edit := r.Change.Edits[0]
		if versions[edit.Name] != edit.Base {
			continue
		}
		versions[edit.Name] = e.Offset
		if edit.Set == nil {
			delete(versions, edit.Name)
		}
	}
	return versions
}

// stream is the log under test, with all snapshots that were taken.
type stream struct {
	t   *rapid.T
	log []mn.LogEntry
	// reference applies each record once, as it is appended.
	reference *StateMachine
	snapshots []mn.Snapshot
}

func (s *stream) append(data []byte) {
	e := mn.LogEntry{Offset: mn.Offset(len(s.log) + 1), Data: data}
	s.log = append(s.log, e)
	require.NoError(s.t, s.reference.Apply([]mn.LogEntry{e}))
}

func (s *stream) appendRecord(r mn.Record) {
	r.Version = mn.RecordVersion
	r.ID = mn.RecordID(fmt.Sprintf("r%d", len(s.log)))
	r.Writer = mn.VMID(rapid.SampledFrom([]string{"e1", "e2"}).Draw(s.t, "writer"))
	data, err := mn.EncodeRecord(&r)
	require.NoError(s.t, err)
	s.append(data)
}

func (s *stream) drawRecord() mn.Record {
	view := s.reference.View()
	vm := mn.VMID(rapid.SampledFrom([]string{"e1", "e2", "a1"}).Draw(s.t, "vm"))
	inc := mn.Incarnation(rapid.SampledFrom([]string{"x", "y"}).Draw(s.t, "incarnation"))
	term := view.Lease.Term - mn.Term(rapid.IntRange(0, 1).Draw(s.t, "stale"))
	switch rapid.IntRange(0, 9).Draw(s.t, "kind") {
	case 0:
		return mn.Record{Claim: &mn.Claim{Incarnation: inc, Replaces: view.Lease.Last, TTL: mn.Second}}
	case 1:
		return mn.Record{Renewal: &mn.Renewal{Term: term, Incarnation: inc}}
	case 2:
		return mn.Record{Join: &mn.Member{VM: vm, Incarnation: inc, Role: mn.RoleEntry}}
	case 3:
		return mn.Record{Leave: &mn.Departure{VM: vm, Incarnation: inc, Done: rapid.Bool().Draw(s.t, "done")}}
	case 4:
		return mn.Record{Remove: &mn.Removal{VM: vm, Incarnation: inc, Term: term}}
	case 5:
		return mn.Record{Intent: &mn.Intent{Term: term, Pool: "p", DataCentre: "d", Target: int64(len(s.log))}}
	case 6:
		snap := rapid.SampledFrom(append(s.snapshots, s.reference.Snapshot())).Draw(s.t, "snapshot")
		return mn.Record{Snapshot: &snap}
	default:
		return mn.Record{Change: s.drawChange(view)}
	}
}

func (s *stream) drawChange(view *mn.View) *mn.Change {
	id := mn.CustomerID(rapid.SampledFrom([]string{"c1", "c2"}).Draw(s.t, "customer"))
	name := mn.ResourceName{Kind: mn.KindCustomer, Name: string(id)}
	base := view.Resources[name].Version
	if base > 0 && rapid.IntRange(0, 3).Draw(s.t, "stale base") == 0 {
		base--
	}
	e := mn.Edit{Name: name, Base: base}
	if rapid.IntRange(0, 3).Draw(s.t, "delete") > 0 {
		e.Set = &mn.Resource{Customer: &mn.Customer{ID: id, Rate: float64(len(s.log))}}
	}
	return &mn.Change{Edits: []mn.Edit{e}}
}

// deliver applies a random slice of the log to sm. One record of the slice may
// be lost or repeated.
func (s *stream) deliver(sm *StateMachine) {
	if len(s.log) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.log)-1).Draw(s.t, "from")
	j := rapid.IntRange(i, len(s.log)).Draw(s.t, "to")
	batch := append([]mn.LogEntry{}, s.log[i:j]...)
	if len(batch) > 1 {
		k := rapid.IntRange(0, len(batch)-1).Draw(s.t, "at")
		switch rapid.IntRange(0, 2).Draw(s.t, "fault") {
		case 0:
			batch = append(batch[:k], batch[k+1:]...)
		case 1:
			batch = append(batch, batch[k])
		}
	}
	before := sm.View().Offset
	if err := sm.Apply(batch); err != nil {
		require.ErrorIs(s.t, err, ErrGap)
	}
	require.GreaterOrEqual(s.t, sm.View().Offset, before)
}

func asJSON(t require.TestingT, s mn.Snapshot) string {
	data, err := json.Marshal(&s)
	require.NoError(t, err)
	return string(data)
}

// TestStateMachinesOfTheSamePrefixAgree guards against state that depends on
// how records arrive. It feeds several state machines the same log with losses,
// repeats, overlaps and old snapshots. Their offsets must never fall, and at
// each offset they must equal a state machine that has applied just that
// prefix.
func TestStateMachinesOfTheSamePrefixAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stream{t: t, reference: New()}
		machines := []*StateMachine{New(), New(), New()}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			sm := rapid.SampledFrom(machines).Draw(t, "state machine")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				s.appendRecord(s.drawRecord())
			case 2:
				if len(s.log) > 0 {
					s.append(rapid.SampledFrom(s.log).Draw(t, "repeat").Data)
				}
			case 3:
				s.snapshots = append(s.snapshots, sm.Snapshot())
				before := sm.View().Offset
				sm.Restore(rapid.SampledFrom(s.snapshots).Draw(t, "restore"))
				require.GreaterOrEqual(t, sm.View().Offset, before)
			default:
				s.deliver(sm)
			}
			s.compare(sm)
		}
		for _, sm := range machines {
			require.NoError(t, sm.Apply(s.log))
			require.Equal(t, asJSON(t, s.reference.Snapshot()), asJSON(t, sm.Snapshot()))
		}
	})
}

func (s *stream) compare(sm *StateMachine) {
	prefix := s.log[:sm.View().Offset]
	expected := New()
	require.NoError(s.t, expected.Apply(prefix))
	require.Equal(s.t, asJSON(s.t, expected.Snapshot()), asJSON(s.t, sm.Snapshot()))
	versions := map[mn.ResourceName]mn.Offset{}
	for n, r := range sm.View().Resources {
		versions[n] = r.Version
	}
	require.Equal(s.t, replayVersions(prefix), versions)
}
