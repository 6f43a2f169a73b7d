package mustardnotch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/google/uuid"
)

// CustomerID names a customer as declared by operators.
type CustomerID string

// ModelID names a model as declared by operators.
type ModelID string

// PoolID names a pool of endpoints that serve the same model or plain service.
type PoolID string

// DataCentre names a data centre, as given in a process's settings.
type DataCentre string

// VMID names a virtual machine in the platform's VM list.
type VMID string

// Incarnation tells one run of a process on a VM from every other run.
type Incarnation string

// RequestID names one request from entry to endpoint. It is a UUIDv7.
type RequestID string

// IdempotencyKey names a call across the caller's own retries. It is a UUIDv7,
// so that its age is known.
type IdempotencyKey string

// RecordID makes a log record idempotent: folds drop repeats of an id.
type RecordID string

// KeyHash is the SHA-256 of a caller's key in hexadecimal.
type KeyHash string

// Offset is the position of a record in a log stream. The first record has
// offset 1; 0 means before the first record.
type Offset int64

// Term is the log offset of the claim that gave a control holder its lease.
type Term int64

// Sequence numbers orders within a term, or frames within an answer, from 1.
type Sequence int64

// Stream names one append-only sequence of records in the platform's log.
type Stream string

// Streams of the platform's log that the system writes.
const (
	ControlStream Stream = "control"
	UsageStream   Stream = "usage"
)

// NewIncarnation returns a fresh random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// NewRequestID returns a fresh time-ordered request id.
func NewRequestID() RequestID {
	return RequestID(uuid.Must(uuid.NewV7()).String())
}

// NewRecordID returns a fresh record id.
func NewRecordID() RecordID {
	return RecordID(uuid.Must(uuid.NewV7()).String())
}

// HashKey returns the hash under which a caller's key is stored.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Created returns the wall-clock time in milliseconds since the Unix epoch at
// which the key was made. It fails for anything but a UUIDv7.
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
