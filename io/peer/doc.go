// Package peer implements the drpc service Peer, through which the processes of the
// system relay the control stream, exchange offsets, lend parts of rates and send crash
// notices, and a client of it.
package peer
