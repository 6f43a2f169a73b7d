package fakes

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	mn "mustardnotch"
)

// Store is a stand-in for the platform's store, in memory. Items of the catalog
// and of endpoints hold JSON of [mn.Catalog] and [mn.Endpoint].
type Store struct {
	mu      sync.Mutex
	feeds   map[mn.FeedKind]*feedState
	changed chan struct{}
	down    map[string]bool
	calls   int
}

type feedState struct {
	items  []mn.Item
	newest map[string]mn.Item
	// first is the offset of the oldest record that is kept.
	first mn.Offset
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{feeds: map[mn.FeedKind]*feedState{}, changed: make(chan struct{}), down: map[string]bool{}}
}

// Client returns the store as the caller named sees it.
func (s *Store) Client(caller string) *StoreClient { return &StoreClient{s, caller} }

// SetDown has the store turn a caller away, or serve it again.
func (s *Store) SetDown(caller string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[caller] = down
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the history of all feeds; the newest items stay.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.feeds {
		f.first = mn.Offset(len(f.items))
	}
}

// Write adds a record whose value is v as JSON, or drops the key if v is nil.
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
	f := s.feeds[kind]
	if f == nil {
		f = &feedState{newest: map[string]mn.Item{}}
		s.feeds[kind] = f
	}
	return f
}

// StoreClient is a store as one caller sees it. It implements [mn.Store].
type StoreClient struct {
	*Store
	caller string
}

func (c *StoreClient) beginCall() error {
	c.calls++
	if c.down[c.caller] {
		return mn.Errorf(mn.PlatformUnavailable, "the store turns %s away", c.caller).WithOutcome(mn.OutcomeNotRun)
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
	f := c.feed(feed)
	var items []mn.Item
	for _, i := range f.newest {
		items = append(items, i)
	}
	return items, mn.Offset(len(f.items)), nil
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
		f, changed := c.feed(feed), c.changed
		if from < f.first {
			c.mu.Unlock()
			return nil, 0, mn.Errorf(mn.RecordsExpired, "the feed begins at %d", f.first)
		}
		items := append([]mn.Item(nil), f.items[min(int(from), len(f.items)):]...)
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
	f := c.feed(feed)
	off := mn.Offset(len(f.items))
	if at >= 0 && at != off {
		return 0, mn.Errorf(mn.Conflict, "the feed ends at %d", off)
	}
	item := mn.Item{Key: key, Value: value, Offset: off}
	f.items = append(f.items, item)
	if len(value) == 0 {
		delete(f.newest, key)
	} else {
		f.newest[key] = item
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return off, nil
}

// Catalog implements [mn.Store].
func (c *StoreClient) Catalog(item mn.Item) (*mn.Catalog, error) {
	if len(item.Value) == 0 {
		return nil, nil
	}
	var out mn.Catalog
	if err := json.Unmarshal(item.Value, &out); err != nil {
		return nil, mn.Errorf(mn.BadResource, "%w", err)
	}
	out.Offset = item.Offset
	return &out, nil
}

// Endpoint implements [mn.Store].
func (c *StoreClient) Endpoint(item mn.Item) (mn.Endpoint, error) {
	var out mn.Endpoint
	err := json.Unmarshal(item.Value, &out)
	out.ID = mn.EndpointID(item.Key)
	return out, err
}
