package mustardnotch

import "context"

// LogEntry is one record of a log stream with its offset.
type LogEntry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// LogBatch is what one read of a log stream returned.
type LogBatch struct {
	Entries []LogEntry `json:"entries"`
	// First is the lowest offset that the log still keeps.
	First Offset `json:"first"`
	// Head is the offset of the stream's last record, 0 if it has none.
	Head Offset `json:"head"`
}

// Log is the platform's append-only log. An Append that fails with
// [PlatformUnavailable] may have taken effect.
type Log interface {
	// Append adds data to the stream and returns its offset.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns records from offset from on, at most limit of them. With
	// none there it waits up to wait for one.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait Millis) (LogBatch, error)
}

// VMState is a VM's state in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list, which lags.
type VM struct {
	ID         VMID       `json:"id"`
	State      VMState    `json:"state"`
	Role       Role       `json:"role"`
	Addr       string     `json:"addr"`
	DataCentre DataCentre `json:"data_centre"`
	Pool       PoolID     `json:"pool,omitempty"`
}

// VMLister reads the platform's list of live and leaving VMs.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// FleetOrder asks the platform for an absolute number of endpoints.
type FleetOrder struct {
	// ID makes the order idempotent.
	ID         RecordID   `json:"id"`
	Pool       PoolID     `json:"pool"`
	DataCentre DataCentre `json:"data_centre"`
	Target     int64      `json:"target"`
	// Term and Holder tell operators who gave the order.
	Term   Term `json:"term"`
	Holder VMID `json:"holder"`
}

// FleetState is the platform's present target for a pool in a data centre.
type FleetState struct {
	Pool       PoolID     `json:"pool"`
	DataCentre DataCentre `json:"data_centre"`
	Target     int64      `json:"target"`
	Running    int64      `json:"running"`
}

// Fleet orders endpoints from the platform.
type Fleet interface {
	// OrderFleet sets a target. An error leaves it unknown whether the order
	// took effect.
	OrderFleet(ctx context.Context, order FleetOrder) error
	// FleetStates returns the present targets.
	FleetStates(ctx context.Context) ([]FleetState, error)
}

// UsageLine is what one customer used of one pool in a window.
type UsageLine struct {
	Customer     CustomerID `json:"customer"`
	Pool         PoolID     `json:"pool"`
	Requests     int64      `json:"requests"`
	PromptTokens int64      `json:"prompt_tokens"`
	OutputTokens int64      `json:"output_tokens"`
}

// UsageReport is what the platform bills for one window.
type UsageReport struct {
	// Window numbers windows from 1 without gaps.
	Window int64 `json:"window"`
	// Marker is the offset in the usage stream that closed the window.
	Marker Offset      `json:"marker"`
	Lines  []UsageLine `json:"lines"`
}

// UsageSink takes usage reports. Repeating a report of the same bytes has no
// further effect.
type UsageSink interface {
	ReportUsage(ctx context.Context, report UsageReport) error
}

// WeightStore hands out model weights at a limited rate.
type WeightStore interface {
	// Reserve asks to load a version and returns how long to wait first.
	Reserve(ctx context.Context, model ModelID, version string) (Millis, error)
}
