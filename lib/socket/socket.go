// Package socket inspects idle TCP connections without reading from them.
//
// # Usage
//
//	if err := socket.CheckIdle(conn); err != nil { conn.Close() }
package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// ErrUnexpectedData reports data received on an idle connection.
var ErrUnexpectedData = errors.New("unexpected bytes on an idle connection")

// CheckIdle returns nil if the connection is open and has no data to read. It
// returns io.EOF if the peer has closed the connection and ErrUnexpectedData if
// data has arrived. It consumes nothing and does not block.
func CheckIdle(conn net.Conn) error {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		peekErr = peek(int(fd))
		return true
	})
	return errors.Join(err, peekErr)
}

// peek checks the socket's receive buffer without removing data from it.
func peek(fd int) error {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil
	case err != nil:
		return err
	case n == 0:
		return io.EOF
	}
	return ErrUnexpectedData
}
