// Package back sends callers' requests to endpoints over HTTP/1.1.
//
// It reads and writes messages with net/http, but manages its own connections: it
// has to know whether any byte of a request was sent, must never repeat a request
// by itself, and must detect answers that belong to an earlier request on the same
// connection.
package back
