package frontend

import (
	"errors"
	"net"
	"syscall"
)

// errNotConnected is what ending a direction of a reset connection returns.
const errNotConnected = syscall.ENOTCONN

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
