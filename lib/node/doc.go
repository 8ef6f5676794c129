// Package node speaks the protocol between nodes.
//
// A call travels as frames on a Stream: one call frame, body frames and an end
// frame towards the target; a head frame, body frames and an end frame back, or
// a refusal (not run) or a failure (unknown). Ends carry length and digest, so
// that a cut body is never taken for a whole one. Messages are encoded with
// the primitives of protobuf's wire format; unknown fields and frame types are
// skipped.
//
// Streams come from a transport: pooled TLS connections over TCP, or streams of
// one QUIC connection per peer. Both are filled into the same function fields.
//
// # Usage
//
//	t := node.NewTCP(clock, tlsConfig)
//	go t.Run(ctx)
//	client := node.NewClient(t.Open, t.Reuse)
//	reply, err := client.Send(ctx, peer, call, body)
//	_, err = io.Copy(w, reply)
//	reply.Close()
//
//	err = node.ListenTCP(ctx, listener, tlsConfig, draining, handler)
package node
