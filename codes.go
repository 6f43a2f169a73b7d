package mustardnotch

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Code is a numbered result code. Numbers are stable across releases.
type Code int

// Severity is who has to act on a result code.
type Severity string

// Severities of result codes.
const (
	// SeverityCaller means that the caller has to change its request.
	SeverityCaller Severity = "caller"
	// SeverityRetry means that the same request may succeed later.
	SeverityRetry Severity = "retry"
	// SeverityOperator means that an operator has to act.
	SeverityOperator Severity = "operator"
)

// CodeDoc documents one result code.
type CodeDoc struct {
	Code     Code
	Title    string
	Text     string
	Since    string
	Severity Severity
	// Outcome is the default outcome of a request that ends with the code.
	Outcome Outcome
}

// Result codes by range: 1xx request, 2xx identity and limits, 3xx serving,
// 4xx configuration and operators, 5xx control, 9xx internal.
const (
	OK                  Code = 0
	BadRequest          Code = 101
	TooLarge            Code = 102
	UnknownModel        Code = 103
	UnknownPool         Code = 104
	BadIdempotencyKey   Code = 105
	KeyTooOld           Code = 106
	Duplicate           Code = 107
	UnknownRequest      Code = 108
	Unauthenticated     Code = 201
	KeyWithdrawn        Code = 202
	RateExceeded        Code = 203
	NotCurrent          Code = 204
	NoEndpoint          Code = 301
	DeadlineTooShort    Code = 302
	DeadlineExceeded    Code = 303
	Overloaded          Code = 304
	Quarantined         Code = 305
	OutcomeNotKnown     Code = 306
	EndpointFailed      Code = 307
	Draining            Code = 308
	Truncated           Code = 309
	Barred              Code = 310
	Cancelled           Code = 311
	Conflict            Code = 401
	BadResource         Code = 402
	BadSetting          Code = 403
	UnknownRecord       Code = 404
	RecordsExpired      Code = 405
	ReadIncomplete      Code = 406
	LeaseLost           Code = 501
	OrderExpired        Code = 502
	OrderStale          Code = 503
	OrderBusy           Code = 504
	PlatformUnavailable Code = 505
	RecordTooLarge      Code = 506
	Internal            Code = 901
)

var codeDocs = map[Code]CodeDoc{}

// RegisterCode adds doc to the table of result codes. It panics if the code is
// already registered or if doc is incomplete.
func RegisterCode(doc CodeDoc) {
	if _, ok := codeDocs[doc.Code]; ok {
		panic(fmt.Sprintf("result code %d registered twice", doc.Code))
	}
	if doc.Title == "" || doc.Text == "" || doc.Since == "" || doc.Severity == "" {
		panic(fmt.Sprintf("result code %d: incomplete doc", doc.Code))
	}
	codeDocs[doc.Code] = doc
}

// Codes returns the documentation of all registered codes in numerical order.
func Codes() []CodeDoc {
	docs := make([]CodeDoc, 0, len(codeDocs))
	for _, d := range codeDocs {
		docs = append(docs, d)
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].Code < docs[j].Code })
	return docs
}

// Doc returns the documentation of c, or that of [Internal] if c is not
// registered.
func (c Code) Doc() CodeDoc {
	if d, ok := codeDocs[c]; ok {
		return d
	}
	return codeDocs[Internal]
}

// String returns the code as it is printed, such as "MN203".
func (c Code) String() string {
	return fmt.Sprintf("MN%03d", int(c))
}

// ParseCode parses a registered code, either as printed by [Code.String] or as a
// bare number.
func ParseCode(s string) (Code, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(strings.ToUpper(s), "MN"))
	if err != nil {
		return 0, fmt.Errorf("result code %q: want a number such as 203 or MN203", s)
	}
	if _, ok := codeDocs[Code(n)]; !ok {
		return 0, fmt.Errorf("result code %q is not registered", s)
	}
	return Code(n), nil
}
