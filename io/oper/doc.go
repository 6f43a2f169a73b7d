// Package oper is an entry's side of its connections to operators: the Connect
// service Operator, and a client of it.
package oper
