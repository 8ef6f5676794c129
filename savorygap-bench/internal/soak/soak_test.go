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
	// shortLength is long enough for two or three episodes.
	shortLength = 10 * time.Second
	// longLength is the usual length of a soak run by hand.
	longLength = 25 * time.Second
)

// TestSoak_FindsNoViolation runs node processes under the faults of an arbitrary
// seed and of the seeds that failed in the past.
func TestSoak_FindsNoViolation(t *testing.T) {
	for _, tc := range []struct {
		seed   uint64
		length time.Duration
	}{
		{seed: 1, length: shortLength},
		// Requests that were delayed between a node and its server arrive together and
		// exceed its slots; the soak reported them as violations.
		{seed: 2, length: longLength},
	} {
		t.Run(fmt.Sprint(tc.seed), func(t *testing.T) {
			var out bytes.Buffer
			must.NoError(t, soak.Run(context.Background(), &out, soak.NewOptions(tc.length, tc.seed).WithSubnet(60)), must.Sprint(out.String()))
			must.StrContains(t, out.String(), "no violations found")
		})
	}
}

// TestSoak_RestoredStoreFindsNoViolation guards against requests to an evacuated data
// centre whose evacuation the restored store lacks, beside all other checks.
func TestSoak_RestoredStoreFindsNoViolation(t *testing.T) {
	var out bytes.Buffer
	o := soak.NewOptions(shortLength, 1).WithSubnet(61).WithOnly("store is restored to an older state")
	must.NoError(t, soak.Run(context.Background(), &out, o), must.Sprint(out.String()))
	must.StrContains(t, out.String(), "store is restored to an older state")
	must.StrContains(t, out.String(), "no violations found")
}
