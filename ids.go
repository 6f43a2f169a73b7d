package mustardnotch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/google/uuid"
)

// CustomerID identifies a customer that operators declared.
type CustomerID string

// ModelID identifies a model that operators declared.
type ModelID string

// PoolID identifies a pool of endpoints that serve the same model or plain
// service.
type PoolID string

// DataCentre is the name of a data centre, as given in a process's settings.
type DataCentre string

// VMID identifies a virtual machine in the platform's VM list.
type VMID string

// Incarnation distinguishes one run of a process from every other run.
type Incarnation string

// RequestID identifies a request on its way from entry to endpoint. It is a
// UUIDv7.
type RequestID string

// IdempotencyKey identifies a call across the caller's own retries. It is a
// UUIDv7, so that its age is known.
type IdempotencyKey string

// RecordID identifies a log record. Readers of the log ignore records that repeat
// an id, so that appending a record twice has no further effect.
type RecordID string

// KeyHash is the SHA-256 of a caller's key in hexadecimal.
type KeyHash string

// Offset is the position of a record in a log stream. The first record has
// offset 1; 0 means before the first record.
type Offset int64

// Term is the log offset of the claim by which a control holder acquired its
// lease.
type Term int64

// Sequence is the number of an order within a term, or of a frame within an
// answer, starting at 1.
type Sequence int64

// Stream is the name of an append-only sequence of records in the platform's log.
type Stream string

// Streams that the system writes.
const (
	ControlStream Stream = "control"
	UsageStream   Stream = "usage"
)

// NewIncarnation returns a new random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// NewRequestID returns a new time-ordered request id.
func NewRequestID() RequestID {
	return RequestID(uuid.Must(uuid.NewV7()).String())
}

// NewRecordID returns a new time-ordered record id.
func NewRecordID() RecordID {
	return RecordID(uuid.Must(uuid.NewV7()).String())
}

// HashKey returns the hash under which a caller's key is stored.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Created returns the time at which the key was generated, in milliseconds since
// the Unix epoch. It fails if the key is not a UUIDv7.
func (k IdempotencyKey) Created() (Millis, error) {
	id, err := uuid.Parse(string(k))
	if err != nil {
		return 0, fmt.Errorf("idempotency key %q: want a UUIDv7: %w", string(k), err)
	}
	if id.Version() != 7 {
		return 0, fmt.Errorf("idempotency key %q: want a UUIDv7, got version %d", string(k), id.Version())
	}
	sec, nsec := id.Time().UnixTime()
	return Millis(sec*1000 + nsec/1e6), nil
}
