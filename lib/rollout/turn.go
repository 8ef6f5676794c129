package rollout

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// turnInterval is the time between the turns of two nodes to write a step. It is longer
// than a write and the message about it take, so that usually only one node writes.
const turnInterval = 150 * time.Millisecond

// Turn returns how long a node waits before it writes a step, by its place among its
// peers in the order of a hash of service, order and step.
func Turn(self string, peers []string, service string, next Record) time.Duration {
	key := service + "/" + strconv.FormatUint(next.order, 10) + "/" + strconv.Itoa(next.step) + "/" + next.phase.String() + "/"
	own, before := xxhash.Sum64String(key+self), 0
	for _, p := range peers {
		if p != self && xxhash.Sum64String(key+p) > own {
			before++
		}
	}
	return time.Duration(before) * turnInterval
}
