package mustardnotch

import "context"

// Item is a record of a feed: a value that was written for a key.
type Item struct {
	Key    string
	Value  []byte
	Offset Offset
}

// FeedKind identifies a keyed feed of the platform's store. The newest record of a
// key holds its current value.
type FeedKind string

// Feeds that the system follows.
const (
	// CatalogFeed carries the declared configuration.
	CatalogFeed FeedKind = "catalog"
	// EndpointFeed carries the entries that endpoints write about themselves.
	EndpointFeed FeedKind = "endpoints"
	// FrontFeed carries the entries that fronts write about themselves.
	FrontFeed FeedKind = "fronts"
	// DutyFeed carries the claims and decisions of duty holders.
	DutyFeed FeedKind = "duties"
	// RunFeed carries the fronts' run counts.
	RunFeed FeedKind = "runs"
	// CrashFeed carries what fronts know of prompt segments that crash engines.
	CrashFeed FeedKind = "crashes"
)

// Store is the platform's store. A call that fails with [PlatformUnavailable] may
// have taken effect, and may still take effect later if its condition holds then.
type Store interface {
	// Newest returns the newest item of each key. The items include every record
	// before next.
	Newest(ctx context.Context, feed FeedKind) (items []Item, next Offset, err error)
	// Follow returns the records from offset from up to the end of the feed, and the
	// offset that follows them. A deleted key has an empty value. If there are no
	// records yet, Follow waits for one for up to wait. It fails with code
	// [RecordsExpired] if the record at offset from has expired, and with code
	// [ReadIncomplete] if it gets only some of the records, so that what it returns is
	// always all that the feed holds.
	Follow(ctx context.Context, feed FeedKind, from Offset, wait Millis) (items []Item, next Offset, err error)
	// Put appends a record and returns its offset. If at is not negative, Put fails
	// with code [Conflict] unless the feed ends at that offset.
	Put(ctx context.Context, feed FeedKind, key string, value []byte, at Offset) (Offset, error)
	// Catalog decodes an item of [CatalogFeed]. It returns nil if the item is not a
	// catalog.
	Catalog(item Item) (*Catalog, error)
	// Evacuation decodes an item of [CatalogFeed] that says whether a data centre is
	// evacuated. It returns false if the item says nothing of that.
	Evacuation(item Item) (dc DataCentre, evacuated, ok bool)
	// Endpoint decodes an item of [EndpointFeed]. Its error says why the item does
	// not describe a usable endpoint.
	Endpoint(item Item) (Endpoint, error)
}

// DutyHolder identifies the process that performs a duty.
type DutyHolder struct {
	VM           VMID
	FencingToken Term
}

// Duties groups the calls to the platform that only one process at a time may
// make.
type Duties interface {
	// ReportRuns reports how many requests of each customer started to run in a
	// window.
	ReportRuns(ctx context.Context, holder DutyHolder, window int64, counts map[CustomerID]int64) error
}
