// Package peer connects the processes of the system to each other: it relays
// the control stream, and lets processes tell each other offsets.
package peer
