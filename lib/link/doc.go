// Package link implements the protocol between two nodes over one TCP connection.
// It carries slot requests, HTTP requests and responses, the state of servers,
// the configuration in force, and changes to the member entries.
//
// The protocol is symmetric: either end may send requests, whichever opened the
// connection. Many requests are multiplexed over the connection. Bodies are split
// into parts, so that a long body does not delay other messages for long. A link
// ends when nothing is received from the peer within a timeout.
//
// A frame is a type of one byte, a length of four bytes, and a payload of protobuf
// wire primitives that are encoded by hand. Unknown fields and types are skipped.
//
// # Usage
//
//	l := link.New(conn, reader, id, peer, handler, hooks, clock)
//	go l.Run(ctx)
//	endpoint := l.Endpoint()
package link
