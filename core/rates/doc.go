// Package rates limits each customer to its rate and burst over all entries
// together, without a shared counter.
//
// A customer's token bucket is divided into equal shares over a few holders. A
// holder admits requests from its own share, and lends tokens to entries whose
// requests wait for one. In every window of length t, all processes together
// admit at most
//
//	burst + rate * t
//
// requests, during any network partition, process pause or loss of messages:
//
//   - The division is a function of the control stream. A process applies a
//     smaller share as soon as it has read the change, and a larger one only once
//     every current process has read it (see [Freshness]). A process that is not
//     current neither admits nor lends.
//   - A share that grows keeps its level, so a new one starts empty; only the
//     first holders of a customer's bucket start full. The time since the last
//     credit accrues at the smallest fraction that applied in it.
//   - A loan leaves the lender's level at once, and counts against the lender's
//     cap until it has expired, so that a token which is spent late in the loan's
//     lifetime doesn't add to the burst.
//
// A lost message loses tokens but never creates any.
package rates
