package outcome_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/lib/outcome"
)

// An unknown outcome that was caused by a refusal elsewhere stays unknown: the
// earlier home of a key that cannot be reached says nothing of the key.
func TestAsNotRunSeesOnlyCertainRefusals(t *testing.T) {
	notRun := outcome.NewNotRun("connect")
	_, ok := outcome.AsNotRun(fmt.Errorf("attempt: %w", notRun))
	must.True(t, ok)
	_, ok = outcome.AsNotRun(outcome.NewUnknown("earlier home", notRun))
	must.False(t, ok)
	_, ok = outcome.AsNotRun(fmt.Errorf("attempt: %w", outcome.NewUnknown("earlier home", notRun)))
	must.False(t, ok)
}
