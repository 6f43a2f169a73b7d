package usage

import (
	"encoding/json"

	mn "mustardnotch"
)

// Item is the usage of one answered request as one process recorded it.
type Item struct {
	mn.RequestUsage
	// Wall is when the answer ended, in milliseconds since the Unix epoch.
	Wall mn.Millis `json:"wall"`
}

// Marker closes a window.
type Marker struct {
	// Window is the number of the window that the marker closes.
	Window int64 `json:"window"`
	// Wall is when the marker was written, in milliseconds since the epoch.
	Wall mn.Millis `json:"wall"`
	// Term is the term of the lease under which the marker was written.
	Term mn.Term `json:"term"`
}

// Reported records that the platform has acknowledged the report of a window, and
// so of all windows before it.
type Reported struct {
	Window int64 `json:"window"`
}

// Record is one record of the usage stream. Exactly one body is set.
type Record struct {
	Version  int       `json:"version"`
	Writer   mn.VMID   `json:"writer"`
	Batch    []Item    `json:"batch,omitempty"`
	Marker   *Marker   `json:"marker,omitempty"`
	Reported *Reported `json:"reported,omitempty"`
	Summary  *Summary  `json:"summary,omitempty"`
}

// Summary is the state of an [Aggregator] at an offset. Aggregators can start from
// it where earlier records have expired. It has no effect on any others.
type Summary struct {
	Offset mn.Offset `json:"as_of"`
	State  State     `json:"state"`
}

// Encode returns the bytes of r as they are appended to the log.
func Encode(r *Record) ([]byte, error) { return json.Marshal(r) }

// Decode decodes one record. It returns an Error with code [mn.UnknownRecord] for a
// record of an unknown version or malformed data.
func Decode(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, mn.Errorf(mn.UnknownRecord, "decode usage record: %w", err)
	}
	if r.Version < 1 || r.Version > mn.RecordVersion {
		return nil, mn.Errorf(mn.UnknownRecord, "usage record has version %d, this release reads 1 to %d", r.Version, mn.RecordVersion)
	}
	return r, nil
}
