// Package sched schedules the jobs of one endpoint.
//
// A [Queue] keeps a FIFO queue for each customer and serves these by weighted
// deficit round robin, with the token cost of a job as its length. A customer
// that sends more than its share therefore only lengthens its own queue. At most
// [Limits.Running] jobs are at the endpoint at once, queues are bounded, and a job
// that can't be done before its deadline is rejected before it runs. The limit
// on running jobs falls while the batch is too slow for their deadlines, and grows
// again while it isn't.
//
// Deficit round robin is due to Shreedhar and Varghese (1995). For two customers
// that both have jobs queued, the difference of the service received, each
// divided by the customer's weight, is at most one quantum plus the cost of one
// job of each.
package sched
