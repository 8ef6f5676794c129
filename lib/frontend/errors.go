package frontend

import (
	"errors"
	"net"
	"syscall"
)

// errNotConnected is returned when one side of a reset connection is shut down.
const errNotConnected = syscall.ENOTCONN

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
