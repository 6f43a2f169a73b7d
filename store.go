package mustardnotch

import "context"

// Item is the newest record of a key.
type Item struct {
	Key    string
	Value  []byte
	Offset Offset
}

// FeedKind names a stream of the platform that carries the newest state of keys.
type FeedKind string

// Feeds that the system follows.
const (
	// CatalogFeed carries the declared configuration.
	CatalogFeed FeedKind = "catalog"
	// EndpointFeed carries the endpoints' entries.
	EndpointFeed FeedKind = "endpoints"
	// FrontFeed carries the fronts' own entries.
	FrontFeed FeedKind = "fronts"
	// DutyFeed carries the claims and decisions of duty holders.
	DutyFeed FeedKind = "duties"
	// RunFeed carries the fronts' counts of runs.
	RunFeed FeedKind = "runs"
)

// Store is the platform's store. A call that fails with [PlatformUnavailable]
// may have taken effect, or may take effect later if its condition still holds.
type Store interface {
	// Newest returns the newest item of each key and the offset after the last
	// record that they take in.
	Newest(ctx context.Context, feed FeedKind) (items []Item, next Offset, err error)
	// Follow returns the records from offset on, an empty value for a dropped
	// key. With none there it waits up to wait for one. It fails with code
	// [RecordsExpired] if records from offset on are gone.
	Follow(ctx context.Context, feed FeedKind, from Offset, wait Millis) (items []Item, next Offset, err error)
	// Put adds a record. With at not negative it fails with code [Conflict]
	// unless the feed ends at that offset.
	Put(ctx context.Context, feed FeedKind, key string, value []byte, at Offset) (Offset, error)
	// Catalog decodes an item of [CatalogFeed]; it returns nil for an item that
	// holds none.
	Catalog(item Item) (*Catalog, error)
	// Endpoint decodes an item of [EndpointFeed]. Its error says why the item
	// names no endpoint that can be used.
	Endpoint(item Item) (Endpoint, error)
}

// DutyHolder tells who performs a duty.
type DutyHolder struct {
	VM           VMID
	FencingToken Term
}

// Duties are the calls to the platform that one process at a time may make.
type Duties interface {
	// ReportRuns reports how many requests of each customer began to run in a
	// window.
	ReportRuns(ctx context.Context, holder DutyHolder, window int64, counts map[CustomerID]int64) error
}
