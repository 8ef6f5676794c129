package socket

import (
	"fmt"
	"net"
	"strconv"
)

// AddressError reports an address that cannot be connected to.
type AddressError struct {
	address string
	reason  string
}

// Error implements error.
func (e *AddressError) Error() string { return fmt.Sprintf("address %q %s", e.address, e.reason) }

// CheckAddress returns *AddressError unless address names a host and a numeric TCP
// port that can be connected to.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return &AddressError{address: address, reason: "has no port"}
	}
	if host == "" {
		return &AddressError{address: address, reason: "has no host"}
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return &AddressError{address: address, reason: fmt.Sprintf("has port %q, which is not from 1 to 65535", port)}
	}
	return nil
}
