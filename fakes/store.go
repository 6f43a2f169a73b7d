package fakes

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	mn "mustardnotch"
)

// Store is a stand-in for the platform's store, in memory. The values of catalog
// and endpoint items are [mn.Catalog] and [mn.Endpoint] encoded as JSON.
type Store struct {
	mu      sync.Mutex
	feeds   map[mn.FeedKind]*feedState
	changed chan struct{}   // closed at the next append to any feed
	down    map[string]bool // by caller
	calls   int
}

type feedState struct {
	items  []mn.Item
	newest map[string]mn.Item
	// first is the lowest offset from which records can be followed.
	first mn.Offset
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{feeds: map[mn.FeedKind]*feedState{}, changed: make(chan struct{}), down: map[string]bool{}}
}

// Client returns a client of the store for the named caller.
func (s *Store) Client(caller string) *StoreClient { return &StoreClient{s, caller} }

// SetDown makes the store reject the calls of a caller, or serve them again.
func (s *Store) SetDown(caller string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[caller] = down
}

// Calls returns how many calls all callers have made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact expires the history of all feeds. The newest item of each key stays.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.feeds {
		f.first = mn.Offset(len(f.items))
	}
}

// Write appends a record whose value is v as JSON, or deletes the key if v is nil.
func (s *Store) Write(feed mn.FeedKind, key string, v any) error {
	var value []byte
	if v != nil {
		var err error
		if value, err = json.Marshal(v); err != nil {
			return err
		}
	}
	_, err := s.Client("").Put(context.Background(), feed, key, value, -1)
	return err
}

func (s *Store) feed(kind mn.FeedKind) *feedState {
	state := s.feeds[kind]
	if state == nil {
		state = &feedState{newest: map[string]mn.Item{}}
		s.feeds[kind] = state
	}
	return state
}

// StoreClient is one caller's client of a store. It implements [mn.Store].
type StoreClient struct {
	*Store
	caller string
}

// beginCall counts a call and fails if the store is down for the caller. The
// calling method holds the store's mutex.
func (c *StoreClient) beginCall() error {
	c.calls++
	if c.down[c.caller] {
		return mn.Errorf(mn.PlatformUnavailable, "store is down for %s", c.caller).WithOutcome(mn.OutcomeNotRun)
	}
	return nil
}

// Newest implements [mn.Store].
func (c *StoreClient) Newest(_ context.Context, feed mn.FeedKind) ([]mn.Item, mn.Offset, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.beginCall(); err != nil {
		return nil, 0, err
	}
	state := c.feed(feed)
	var items []mn.Item
	for _, i := range state.newest {
		items = append(items, i)
	}
	return items, mn.Offset(len(state.items)), nil
}

// Follow implements [mn.Store].
func (c *StoreClient) Follow(ctx context.Context, feed mn.FeedKind, from mn.Offset, wait mn.Millis) ([]mn.Item, mn.Offset, error) {
	timeout := time.After(wait.Duration())
	for {
		c.mu.Lock()
		if err := c.beginCall(); err != nil {
			c.mu.Unlock()
			return nil, 0, err
		}
		state, changed := c.feed(feed), c.changed
		if from < state.first {
			c.mu.Unlock()
			return nil, 0, mn.Errorf(mn.RecordsExpired, "follow from offset %d: records before offset %d have expired", from, state.first)
		}
		items := append([]mn.Item(nil), state.items[min(int(from), len(state.items)):]...)
		c.mu.Unlock()
		if len(items) > 0 || wait == 0 {
			return items, from + mn.Offset(len(items)), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, from, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Put implements [mn.Store].
func (c *StoreClient) Put(_ context.Context, feed mn.FeedKind, key string, value []byte, at mn.Offset) (mn.Offset, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.beginCall(); err != nil {
		return 0, err
	}
	state := c.feed(feed)
	offset := mn.Offset(len(state.items))
	if at >= 0 && at != offset {
		return 0, mn.Errorf(mn.Conflict, "put at offset %d: feed ends at offset %d", at, offset)
	}
	item := mn.Item{Key: key, Value: value, Offset: offset}
	state.items = append(state.items, item)
	if len(value) == 0 {
		delete(state.newest, key)
	} else {
		state.newest[key] = item
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return offset, nil
}

// Catalog implements [mn.Store].
func (c *StoreClient) Catalog(item mn.Item) (*mn.Catalog, error) {
	if _, _, ok := c.Evacuation(item); ok || len(item.Value) == 0 {
		return nil, nil
	}
	var catalog mn.Catalog
	if err := json.Unmarshal(item.Value, &catalog); err != nil {
		return nil, mn.Errorf(mn.BadResource, "%w", err)
	}
	catalog.Offset = item.Offset
	return &catalog, nil
}

// EvacuationKey is the prefix of the keys of evacuations. The name of the data centre follows.
const EvacuationKey = "evacuate/"

// Evacuation implements [mn.Store].
func (c *StoreClient) Evacuation(item mn.Item) (dc mn.DataCentre, evacuated, ok bool) {
	name, ok := strings.CutPrefix(item.Key, EvacuationKey)
	return mn.DataCentre(name), len(item.Value) > 0, ok && name != ""
}

// Endpoint implements [mn.Store].
func (c *StoreClient) Endpoint(item mn.Item) (mn.Endpoint, error) {
	var endpoint mn.Endpoint
	err := json.Unmarshal(item.Value, &endpoint)
	endpoint.ID = mn.EndpointID(item.Key)
	return endpoint, err
}
