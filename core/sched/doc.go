// Package sched orders the work in front of one endpoint.
//
// A [Queue] keeps one FIFO a customer and serves them by deficit round robin,
// weighted by the customer's weight, with the token cost of each job as its
// length. So a customer that sends more than its part only lengthens its own
// queue. At most [Limits.Running] jobs are at the endpoint at once, queues are
// bounded, and a job that can't be done before its deadline is refused before
// it runs.
// The number of jobs at the endpoint falls while jobs spend most of the time
// they are allowed there, and grows again while they don't.
//
// Deficit round robin is due to Shreedhar and Varghese (1995). The service of
// two customers that both have work queued differs, divided by their weights,
// by at most one quantum plus the cost of one job each.
package sched
