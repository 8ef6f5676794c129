package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap-bench/internal/soak"
)

const (
	// short is the length of a soak of two or three episodes.
	short = 10 * time.Second
	// whole is the length under which seeds are played by hand.
	whole = 25 * time.Second
)

// TestSoakKeepsThePromises runs real nodes under the faults of a few seeds: one
// that is played every time, and those that ever failed.
func TestSoakKeepsThePromises(t *testing.T) {
	for _, one := range []struct {
		seed   uint64
		length time.Duration
	}{
		{seed: 1, length: short},
		// Requests that were held up between a node and its server arrive together,
		// above the slots; a check of the soak counted them.
		{seed: 2, length: whole},
	} {
		t.Run(fmt.Sprint(one.seed), func(t *testing.T) {
			var out bytes.Buffer
			must.NoError(t, soak.Run(context.Background(), &out, soak.NewOptions(one.length, one.seed).WithSubnet(60)), must.Sprint(out.String()))
			must.StrContains(t, out.String(), "all promises held")
		})
	}
}
