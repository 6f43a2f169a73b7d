package mustardnotch

import "encoding/json"

// RecordVersion is the version of log records that this release writes, and
// the highest that it reads.
const RecordVersion = 1

// Record is one record of the control stream. Exactly one body is set.
type Record struct {
	Version int      `json:"version"`
	ID      RecordID `json:"id"`
	// Writer is the VM whose process appended the record.
	Writer VMID `json:"writer"`

	Claim     *Claim       `json:"claim,omitempty"`
	Renewal   *Renewal     `json:"renewal,omitempty"`
	Release   *Release     `json:"release,omitempty"`
	Change    *Change      `json:"change,omitempty"`
	Join      *Member      `json:"join,omitempty"`
	Leave     *Departure   `json:"leave,omitempty"`
	Remove    *Removal     `json:"remove,omitempty"`
	Snapshot  *Snapshot    `json:"snapshot,omitempty"`
	Intent    *Intent      `json:"intent,omitempty"`
	Crash     *CrashRecord `json:"poison,omitempty"`
	RateShare *RateShare   `json:"share,omitempty"`
}

// Claim requests the control lease. The first claim in log order that names the
// last valid record of the current lease wins.
type Claim struct {
	Incarnation Incarnation `json:"incarnation"`
	// Replaces is the offset of the last valid claim, renewal or release that
	// the claimant has read, 0 if there is none.
	Replaces Offset `json:"replaces"`
	TTL      Millis `json:"span"`
}

// Renewal extends the control lease acquired in Term.
type Renewal struct {
	Term        Term        `json:"term"`
	Incarnation Incarnation `json:"incarnation"`
}

// Release gives up the control lease acquired in Term at once.
type Release struct {
	Term        Term        `json:"term"`
	Incarnation Incarnation `json:"incarnation"`
}

// Change sets or deletes resources. Either all of its edits apply or none.
type Change struct {
	Edits []Edit `json:"edits"`
}

// Edit sets or deletes one resource. It applies only if the resource is at version
// Base.
type Edit struct {
	Name ResourceName `json:"name"`
	// Base is the version that the edit was based on, 0 for a new resource.
	Base Offset `json:"base"`
	// Set is the resource's new state; nil deletes the resource.
	Set *Resource `json:"set,omitempty"`
}

// Departure announces that a member leaves voluntarily. Without Done the member
// gets no new requests but stays in the roster; with Done it leaves the roster.
type Departure struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Done        bool        `json:"done,omitempty"`
}

// Removal is the holder's record that a member is gone. It is void unless Term is
// the term of the lease at that point in the log.
type Removal struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Term        Term        `json:"term"`
}

// Snapshot is the state of the control stream at Offset. It is written well before
// the records that it covers expire.
type Snapshot struct {
	Offset    Offset      `json:"as_of"`
	Resources []Versioned `json:"resources,omitempty"`
	Roster    []Member    `json:"roster,omitempty"`
	Leaving   []Departure `json:"leaving,omitempty"`
	// ServedPools holds the pools that have ever had an agent.
	ServedPools []PoolID `json:"served,omitempty"`
	Lease       Lease    `json:"lease"`
	// SeenIDs holds the ids of recent records, so that repeats of them are still
	// ignored after a restore.
	SeenIDs []RecordID `json:"seen,omitempty"`
	// Intents holds the last intent for each pool in each data centre.
	Intents    []Intent      `json:"intents,omitempty"`
	Crashes    []CrashRecord `json:"poisons,omitempty"`
	RateShares []RateShare   `json:"shares,omitempty"`
}

// Intent is the holder's record of the number of endpoints of a pool that it is
// about to order from the platform in a data centre. It is void unless Term is
// the term of the lease at that point in the log.
type Intent struct {
	Term       Term       `json:"term"`
	Pool       PoolID     `json:"pool"`
	DataCentre DataCentre `json:"data_centre"`
	// Target is an absolute number of endpoints.
	Target int64 `json:"target"`
}

// CrashRecord records that a request with Fingerprint crashed the endpoint on VM.
type CrashRecord struct {
	Fingerprint string `json:"fingerprint"`
	// VM holds the endpoint's id in the records of fronts, whose endpoints aren't
	// members of the roster.
	VM VMID `json:"vm"`
	// SeenAt is when the crash was observed, in milliseconds since the Unix epoch.
	SeenAt Millis `json:"wall"`
}

// RateShare moves part of a customer's rate from one entry to another.
type RateShare struct {
	Customer CustomerID `json:"customer"`
	// From and To are the VMs of the entries; From is empty for the initial
	// division.
	From        VMID        `json:"from,omitempty"`
	To          VMID        `json:"to"`
	Incarnation Incarnation `json:"incarnation"`
	Term        Term        `json:"term"`
}

// EncodeRecord encodes r for the log.
func EncodeRecord(r *Record) ([]byte, error) {
	return json.Marshal(r)
}

// DecodeRecord decodes a record. It returns an Error with code [UnknownRecord] for
// a malformed record and for one of a later version.
func DecodeRecord(data []byte) (*Record, error) {
	var head struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, Errorf(UnknownRecord, "decode log record: %w", err)
	}
	if head.Version < 1 || head.Version > RecordVersion {
		return nil, Errorf(UnknownRecord, "log record has version %d, this release reads 1 to %d", head.Version, RecordVersion)
	}
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, Errorf(UnknownRecord, "decode log record of version %d: %w", head.Version, err)
	}
	if r.ID == "" {
		return nil, Errorf(UnknownRecord, "log record of version %d has no id", head.Version)
	}
	return r, nil
}
