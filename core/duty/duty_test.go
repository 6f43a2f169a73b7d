package duty

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mn "mustardnotch"
)

const holderGap = 3 * mn.Second

// feed is the duty feed: a log that appends a record only at its end offset.
type feed struct{ items []mn.Item }

func (f *feed) append(p Proposal) (mn.Offset, bool) {
	if int(p.Offset) != len(f.items) {
		return 0, false
	}
	f.items = append(f.items, mn.Item{Key: p.Key, Value: p.Value, Offset: p.Offset})
	return p.Offset, true
}

func (f *feed) read(h *Holder) {
	from := max(0, int(h.Next()))
	h.Apply(f.items[from:], mn.Offset(len(f.items)))
}

func TestOnlyOneFrontHoldsTheDuty(t *testing.T) {
	clock, f := mn.NewManualClock(1_000_000), &feed{}
	a, b := New("a", "1", holderGap, clock), New("b", "1", holderGap, clock)
	_, ok := a.ProposeLease()
	require.False(t, ok, "nothing has been read yet")
	f.read(a)
	f.read(b)
	proposalA, ok := a.ProposeLease()
	require.True(t, ok)
	proposalB, ok := b.ProposeLease()
	require.True(t, ok)
	offset, ok := f.append(proposalA)
	require.True(t, ok)
	a.Appended(proposalA, offset)
	_, ok = f.append(proposalB)
	require.False(t, ok)
	f.read(b)
	_, ok = b.ProposeLease()
	require.False(t, ok, "another front holds the duty")
	term, ok := a.Held()
	require.True(t, ok)
	require.EqualValues(t, offset+1, term)

	clock.Advance(2300)
	_, ok = a.Held()
	require.False(t, ok, "the holder stops acting a second before its lease ends")
	_, ok = b.ProposeLease()
	require.False(t, ok)
	proposalA, ok = a.ProposeLease()
	require.True(t, ok)
	offset, _ = f.append(proposalA)
	a.Appended(proposalA, offset)
	renewed, ok := a.Held()
	require.True(t, ok)
	require.Equal(t, term, renewed, "a renewal keeps the term")
}

func TestRestartedHolderClaimsWithoutWaiting(t *testing.T) {
	clock, f := mn.NewManualClock(1_000_000), &feed{}
	a := New("a", "1", holderGap, clock)
	f.read(a)
	proposal, _ := a.ProposeLease()
	offset, _ := f.append(proposal)
	a.Appended(proposal, offset)
	restarted, other := New("a", "2", holderGap, clock), New("b", "1", holderGap, clock)
	f.read(restarted)
	f.read(other)
	require.Zero(t, restarted.UntilClaim())
	require.Positive(t, other.UntilClaim())
	proposal, ok := restarted.ProposeLease()
	require.True(t, ok)
	offset2, _ := f.append(proposal)
	restarted.Appended(proposal, offset2)
	term, _ := restarted.Held()
	require.Greater(t, int64(term), int64(offset), "the new incarnation has a new term")
	f.read(a)
	_, ok = a.Held()
	require.False(t, ok)
}

func TestClaimWithLostReply(t *testing.T) {
	clock, f := mn.NewManualClock(1_000_000), &feed{}
	a := New("a", "1", holderGap, clock)
	f.read(a)
	proposal, _ := a.ProposeLease()
	_, ok := f.append(proposal) // The reply is lost.
	require.True(t, ok)
	f.read(a)
	_, ok = a.Held()
	require.False(t, ok, "it is unknown when the claim was sent")
	proposal, ok = a.ProposeLease()
	require.True(t, ok)
	offset, ok := f.append(proposal)
	require.True(t, ok)
	a.Appended(proposal, offset)
	term, ok := a.Held()
	require.True(t, ok)
	require.EqualValues(t, 1, term, "the term is that of the claim whose reply was lost")
}

// Under any interleaving of reads, late appends, pauses and restarts, no two fronts may
// hold the duty at once, terms may never decrease, and a front may not act again within
// holderGap if another one acted in between.
func TestHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock, f := mn.NewManualClock(1_000_000), &feed{items: []mn.Item{{Key: "first"}}}
		count := rapid.IntRange(2, 4).Draw(t, "fronts")
		fronts := make([]*Holder, count)
		late := make([]*Proposal, count)
		for i := range fronts {
			fronts[i] = New(mn.VMID(fmt.Sprint(i)), "1", holderGap, clock)
		}
		type act struct {
			front int
			term  mn.Term
			at    mn.Millis
		}
		var acts []act
		for n := range rapid.IntRange(20, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, count-1).Draw(t, "front")
			h := fronts[i]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				f.read(h)
			case 1, 2:
				if proposal, ok := h.ProposeLease(); ok {
					if offset, ok := f.append(proposal); ok {
						h.Appended(proposal, offset)
					} else {
						f.read(h)
					}
				}
			case 3: // The store appends the proposal later, and the front gets no reply.
				if proposal, ok := h.ProposeLease(); ok && late[i] == nil {
					late[i] = &proposal
				} else if late[i] != nil {
					f.append(*late[i])
					late[i] = nil
				}
			case 4:
				clock.Advance(mn.Millis(rapid.IntRange(1, 2500).Draw(t, "pause")))
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					fronts[i] = New(mn.VMID(fmt.Sprint(i)), mn.Incarnation(fmt.Sprint(n)), holderGap, clock)
				}
			}
			held := 0
			for j, h := range fronts {
				if term, ok := h.Held(); ok {
					held++
					acts = append(acts, act{j, term, clock.Now()})
				}
			}
			require.LessOrEqual(t, held, 1)
		}
		for k := 1; k < len(acts); k++ {
			require.GreaterOrEqual(t, acts[k].term, acts[k-1].term)
			if acts[k].front == acts[k-1].front {
				continue
			}
			for _, earlier := range acts[:k-1] {
				if earlier.front == acts[k].front {
					require.Greater(t, acts[k].at-earlier.at, holderGap, "front %d acted, then %d, then %d", acts[k].front, acts[k-1].front, acts[k].front)
				}
			}
		}
	})
}

func TestRunsOfStoppedFrontsCount(t *testing.T) {
	clock := mn.NewManualClock(100_000)
	r := NewRunCounter(5*mn.Second, 10*mn.Second, clock)
	r.CountStart("c")
	r.CountStart("")
	window := int64(clock.Wall() / (5 * mn.Second))
	stopped := mn.FrontState{VM: "x", Incarnation: "1", HasRuns: true, Runs: []mn.RunCount{{Window: window, Customer: "c", Count: 4}}}
	r.ReceiveState(stopped)
	r.ReceiveState(mn.FrontState{VM: "x", Incarnation: "2", HasRuns: true, Runs: []mn.RunCount{{Window: window, Customer: "c", Count: 1}}})
	r.Restore(StoredRuns{Window: window, Fronts: []FrontRuns{
		{VM: "x", Incarnation: "1", Counts: map[mn.CustomerID]int64{"c": 3}},
		{VM: "me", Incarnation: "1", Counts: map[mn.CustomerID]int64{"c": 1}},
	}}, "me", "1")
	counts, silent := r.Total(window, []mn.VMID{"x"})
	require.Equal(t, map[mn.CustomerID]int64{"c": 6}, counts)
	require.Equal(t, 1, silent, "no state of x was received since the window ended")
	clock.Advance(5 * mn.Second)
	r.ReceiveState(mn.FrontState{VM: "x", Incarnation: "2"})
	_, silent = r.Total(window, []mn.VMID{"x"})
	require.Equal(t, 1, silent, "a state without counts says nothing of them")
	r.ReceiveState(stopped)
	_, silent = r.Total(window, []mn.VMID{"x"})
	require.Zero(t, silent)

	other := NewRunCounter(5*mn.Second, 10*mn.Second, clock)
	for _, part := range r.Parts("me", "1") {
		other.Restore(part, "other", "1")
	}
	restored, _ := other.Total(window, nil)
	require.Equal(t, counts, restored)
}

// What is stored of all fronts' counts must fit into records of the store, however many
// fronts, customers and windows there are, and no count may be lost.
func TestStoredCountsFitIntoRecords(t *testing.T) {
	const maxRecord = 256 << 10
	for _, fronts := range []int{1, 30, 68, 300, 1000} {
		for _, customers := range []int{1, 19, 400} {
			if fronts*customers > 100_000 {
				continue
			}
			clock := mn.NewManualClock(1_000_000_000)
			r := NewRunCounter(5*mn.Second, 10*mn.Second, clock)
			window := int64(r.Wall() / (5 * mn.Second))
			for f := range fronts {
				counts := FrontRuns{VM: mn.VMID(fmt.Sprintf("front-geldermalsen-%d", f)), Incarnation: "01a23f60-c93b-7c5e", Counts: map[mn.CustomerID]int64{}}
				for c := range customers {
					counts.Counts[mn.CustomerID(fmt.Sprintf("customer-%d", c))] = int64(1 + f + c)
				}
				for w := range int64(6) {
					r.Restore(StoredRuns{Window: window - w, Fronts: []FrontRuns{counts}}, "me", "1")
				}
			}
			want, _ := r.Total(window, nil)
			other := NewRunCounter(5*mn.Second, 10*mn.Second, clock)
			for _, part := range r.Parts("me", "1") {
				value, err := json.Marshal(part)
				require.NoError(t, err)
				require.Less(t, len(value), maxRecord, "%d fronts, %d customers", fronts, customers)
				other.Restore(part, "other", "1")
			}
			got, _ := other.Total(window, nil)
			require.Equal(t, want, got)
		}
	}
}

// stepClock is a clock whose wall-clock time can be set forward or back.
type stepClock struct {
	*mn.ManualClock
	step mn.Millis
}

func (c *stepClock) Wall() mn.Millis { return c.ManualClock.Wall() + c.step }

func TestWallClockStepIsNotFollowedAtOnce(t *testing.T) {
	c := &stepClock{ManualClock: mn.NewManualClock(100_000)}
	r := NewRunCounter(5*mn.Second, 10*mn.Second, c)
	c.step = 2400
	c.Advance(1000)
	require.EqualValues(t, 101_000, r.Wall())
	c.step = 0
	c.Advance(1000)
	require.EqualValues(t, 102_000, r.Wall())
	c.step = -2400
	r.Wall()
	c.Advance(clockStepDelay + 1)
	require.EqualValues(t, 102_000+clockStepDelay+1-2400, r.Wall(), "a lasting step is followed")
}

// Two fronts store the counts of all fronts. If all fronts are killed, what was counted
// since the last write of either is lost, so they must write at even distances.
func TestWritersTakeTurns(t *testing.T) {
	var writes []mn.Millis
	for rank := range 2 {
		for now := mn.Millis(1_700_000_000_123); now < 1_700_000_010_000; {
			now += UntilTurn(now, rank, 2, 400)
			writes = append(writes, now)
		}
	}
	slices.Sort(writes)
	for i := range writes[1:] {
		require.EqualValues(t, 200, writes[i+1]-writes[i])
	}
	require.Positive(t, UntilTurn(800, 0, 2, 400), "a writer whose turn is now waits for the next one")
}

// Guards against records that are written again and again though their windows have ended: with
// 30 fronts and 86 customers, all parts but those of the current window stay as they are.
func TestOnlyTheCurrentWindowIsWritten(t *testing.T) {
	clock := mn.NewManualClock(1_000_000_000)
	r := NewRunCounter(5*mn.Second, 10*mn.Second, clock)
	count := func(n int64) {
		window := int64(r.Wall() / (5 * mn.Second))
		for f := range 30 {
			state := mn.FrontState{VM: mn.VMID(fmt.Sprint("front-", f)), Incarnation: "1", HasRuns: true}
			for c := range 86 {
				state.Runs = append(state.Runs, mn.RunCount{Window: window, Customer: mn.CustomerID(fmt.Sprint("customer-", c)), Count: n})
			}
			r.ReceiveState(state)
		}
	}
	var log WriteLog
	write := func() (writes int) {
		for key, part := range r.Parts("me", "1") {
			value, err := json.Marshal(part)
			require.NoError(t, err)
			if log.Due(key, value, clock.Now()) {
				writes++
				log.Record(key, value, true, false, clock.Now())
			}
		}
		return writes
	}
	for range 5 {
		count(1)
		clock.Advance(5 * mn.Second)
	}
	require.Equal(t, 5, write())
	for n := range int64(4) {
		count(1 + n)
		require.Equal(t, 1, write())
		require.Zero(t, write(), "nothing has changed")
		clock.Advance(400)
	}
}

// Guards against a write whose answer was lost and that takes effect after newer ones.
func TestUnansweredWriteIsRepeated(t *testing.T) {
	var l WriteLog
	old, newer := []byte("1"), []byte("2")
	require.True(t, l.Due("k", old, 0))
	l.Record("k", old, false, true, 0)
	require.True(t, l.Due("k", old, 0), "a refused write is due again")
	l.Record("k", old, true, false, 0)
	require.False(t, l.Due("k", old, 100))
	l.Record("k", newer, false, false, 100)
	require.True(t, l.Due("k", old, 200), "the store may hold either")
	l.Record("k", newer, true, false, 200)
	require.True(t, l.Due("k", newer, 5000), "the write without an answer may come now")
	l.Record("k", newer, true, false, 100+lateWriteTime)
	require.False(t, l.Due("k", newer, 100+lateWriteTime))
}
