package soak_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap-bench/internal/soak"
)

// soaked is how long a soak of the tests runs: two or three episodes.
const soaked = 10 * time.Second

// TestSoakKeepsThePromises runs real nodes under the faults of one seed.
func TestSoakKeepsThePromises(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, soak.Run(context.Background(), &out, soak.NewOptions(soaked, 1).On(60)), must.Sprint(out.String()))
	must.StrContains(t, out.String(), "all promises held")
}
