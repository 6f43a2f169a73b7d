// Package oper implements the Connect service Operator, which an entry provides to
// operators, and a client of it.
package oper
