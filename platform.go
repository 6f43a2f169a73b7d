package mustardnotch

import "context"

// LogEntry is one record of a log stream with its offset.
type LogEntry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// LogBatch is the result of one read of a log stream.
type LogBatch struct {
	Entries []LogEntry `json:"entries"`
	// First is the lowest offset that the log still retains.
	First Offset `json:"first"`
	// Head is the offset of the stream's last record, 0 if it has none.
	Head Offset `json:"head"`
}

// Log is the platform's append-only log. An Append that fails with
// [PlatformUnavailable] may have taken effect.
type Log interface {
	// Append adds data to the stream and returns its offset.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns up to limit records, starting at offset from. If there are
	// none yet, it waits for one for up to wait.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait Millis) (LogBatch, error)
}

// VMState is a VM's state in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list. The list lags behind the VMs' state.
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

// FleetOrder sets the absolute number of endpoints that the platform runs for a
// pool in a data centre.
type FleetOrder struct {
	// ID makes the order idempotent.
	ID         RecordID   `json:"id"`
	Pool       PoolID     `json:"pool"`
	DataCentre DataCentre `json:"data_centre"`
	Target     int64      `json:"target"`
	// Term and Holder show operators which process gave the order.
	Term   Term `json:"term"`
	Holder VMID `json:"holder"`
}

// FleetState is the platform's current target for a pool in a data centre.
type FleetState struct {
	Pool       PoolID     `json:"pool"`
	DataCentre DataCentre `json:"data_centre"`
	Target     int64      `json:"target"`
	Running    int64      `json:"running"`
}

// Fleet orders endpoints from the platform.
type Fleet interface {
	// OrderFleet sets a target. An order that fails with an error may have taken
	// effect.
	OrderFleet(ctx context.Context, order FleetOrder) error
	// FleetStates returns the current targets.
	FleetStates(ctx context.Context) ([]FleetState, error)
}

// UsageLine is a customer's usage of a pool in a window.
type UsageLine struct {
	Customer     CustomerID `json:"customer"`
	Pool         PoolID     `json:"pool"`
	Requests     int64      `json:"requests"`
	PromptTokens int64      `json:"prompt_tokens"`
	OutputTokens int64      `json:"output_tokens"`
}

// UsageReport is the usage that the platform bills for one window.
type UsageReport struct {
	// Window is the number of the window. Windows count from 1 without gaps.
	Window int64 `json:"window"`
	// Marker is the offset of the record in the usage stream that closed the
	// window.
	Marker Offset      `json:"marker"`
	Lines  []UsageLine `json:"lines"`
}

// UsageSink accepts usage reports. Repeating a report with identical content has
// no further effect.
type UsageSink interface {
	ReportUsage(ctx context.Context, report UsageReport) error
}

// WeightStore serves model weights at a limited rate.
type WeightStore interface {
	// Reserve requests permission to load a version and returns how long to wait
	// before loading.
	Reserve(ctx context.Context, model ModelID, version string) (Millis, error)
}
