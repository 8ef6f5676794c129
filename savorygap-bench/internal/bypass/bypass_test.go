package bypass_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap-bench/internal/bypass"
)

// TestSoundServerTakesItsSlots loads a server at 80% of its capacity with a class that
// mixes requests of 4 and 60 ms. Long requests of a sound server must not count as
// slow, so that no request is refused, whether cheap requests overtake or not.
func TestSoundServerTakesItsSlots(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, bypass.Run(&out, []float64{80}, 3))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")[1:]
	must.Len(t, 6, rows)
	for _, row := range rows {
		columns := strings.Fields(row)
		must.Eq(t, []string{"0", "0"}, columns[len(columns)-2:], must.Sprint(row))
	}
}
