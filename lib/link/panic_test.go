package link_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"savorygap.example/lib/task"
)

// brokenClock is a clock that cannot be read.
type brokenClock struct{ clockwork.Clock }

func (brokenClock) Now() time.Time { panic("clock is broken") }

// TestPanicAtTheStartEndsTheLinkOnly guards against a process that ends since the task of a
// link panics before it handles its first command.
func TestPanicAtTheStartEndsTheLinkOnly(t *testing.T) {
	dialled, accepted := connect(t)
	defer func() { must.NoError(t, accepted.Close()) }()
	a := newEndWithClock(t.Context(), t, dialled, "b", brokenClock{clockwork.NewRealClock()})
	var caught *task.PanicError
	must.True(t, errors.As(<-a.closed, &caught))
}
