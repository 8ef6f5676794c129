// Package link carries what two nodes say to each other over one TCP
// connection: asks for places, requests and answers, load, which configuration
// is in force and its text, and changes to the entries of nodes.
//
// Both ends are equal: either may ask, whoever opened the connection. Messages
// of many requests share it; bodies travel in parts, so that a long one does not
// hold up others for long. A connection that goes silent is noticed by its own
// timeout.
//
// Messages are protobuf wire primitives mapped by hand behind a frame of one
// byte of type and four of length. Unknown fields and types are skipped.
//
// # Usage
//
//	l := link.New(conn, reader, serial, peer, server, hooks, clock)
//	go l.Run(ctx)
//	port := l.Port()
package link
