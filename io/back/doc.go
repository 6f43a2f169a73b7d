// Package back sends callers' requests to endpoints over HTTP/1.1.
//
// It writes and reads messages with net/http but keeps its own connections,
// since it has to know whether any byte of a request has left, must never
// repeat a request by itself, and must tell an answer from one that belongs to
// an earlier request on the same connection.
package back
