// Package rates holds customers to their rate and burst over all entries
// together, without a shared counter.
//
// Each customer's token bucket is divided into shares over a few holders. A
// holder admits requests from its own share, and lends tokens to an entry that
// has a request waiting. The sum over all processes stays below
//
//	burst + rate * t
//
// in every window of length t, under any partition, pause or loss of messages:
//
//   - The division is a function of the control stream. A process applies a
//     smaller share as soon as it has read of it, and a larger one only once
//     every current process has read of it (see [Currency]). A process that is
//     not current neither admits nor lends.
//   - A share that grows starts empty. Accrual since the last admission is
//     credited at the smallest share in force since.
//   - A loan leaves the lender's level at once and goes on to count against the
//     lender's cap until it has expired, so that its life costs no burst.
//
// A lost message only loses tokens.
package rates
