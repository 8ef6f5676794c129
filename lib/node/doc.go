// Package node implements the RPC protocol with which nodes forward requests to
// each other.
//
// A call is a sequence of frames on a Stream. The caller sends a call frame,
// body frames and an end frame. The target responds with a head frame, body
// frames and an end frame, or with a refusal (the call was not run) or a
// failure (the outcome is unknown). An end frame carries the length and digest
// of the body, so that a truncated body is detected. Messages use the
// primitives of the protobuf wire format; unknown fields and frame types are
// skipped.
//
// A transport provides the streams: pooled TLS connections over TCP, or streams
// of one QUIC connection per peer.
//
// # Usage
//
//	t := node.NewTCPTransport(clock, tlsConfig)
//	go t.Run(ctx)
//	client := node.NewClient(t.Open, t.Release)
//	response, err := client.Send(ctx, peer, call, body)
//	_, err = io.Copy(w, response)
//	response.Close()
//
//	err = node.ListenTCP(ctx, listener, tlsConfig, draining, handler)
package node
