package outcome_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/outcome"
)

// An unknown outcome must stay unknown if a refusal caused it. For example,
// when the previous home of a key refuses the connection, the key may still
// have run there.
func TestAsNotRun_ExcludesUnknownOutcomes(t *testing.T) {
	notRun := outcome.NewNotRun("connect")
	_, ok := outcome.AsNotRun(fmt.Errorf("attempt: %w", notRun))
	must.True(t, ok)
	_, ok = outcome.AsNotRun(outcome.NewUnknown("earlier home", notRun))
	must.False(t, ok)
	_, ok = outcome.AsNotRun(fmt.Errorf("attempt: %w", outcome.NewUnknown("earlier home", notRun)))
	must.False(t, ok)
}
