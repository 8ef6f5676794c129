package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"savorygap.example/savorygap-bench/internal/cluster"
)

const (
	// restoreOutage is how long the store is unavailable before it returns with an
	// older state.
	restoreOutage = 300 * time.Millisecond
	// copyAge is how old that state is. By then an evacuation made after the copy has to
	// be in force everywhere.
	copyAge = maxEvacuationDelay + 500*time.Millisecond
	// rewriteDelay is how long after that operators write again what they wrote since.
	rewriteDelay = 2 * time.Second
	// reissuedRevisions is how many changes others make after the restore. The revision
	// is then above that from before the restore when the nodes read it.
	reissuedRevisions = 40
)

// restoreStore returns the store to an older state, which lacks an evacuation and a
// configuration. Operators write both again.
func restoreStore(ctx context.Context, c *cluster.Cluster, r *recorder, h *cluster.Host, d time.Duration) {
	earlier := c.Store().Copy()
	from := c.SetEvacuated(h.DataCentre(), true)
	configure(ctx, c, r, h, d)
	time.Sleep(copyAge)
	c.Store().SetUnavailable(true)
	time.Sleep(restoreOutage)
	c.Store().Restore(earlier)
	for n := range reissuedRevisions {
		c.Store().Put(fmt.Sprint("other/", n), nil)
	}
	c.Store().CompactHistory()
	c.Store().SetUnavailable(false)
	time.Sleep(rewriteDelay)
	c.RepeatConfiguration()
	c.RepeatRollout()
	c.SetEvacuated(h.DataCentre(), true)
	time.Sleep(d)
	to := time.Now()
	c.SetEvacuated(h.DataCentre(), false)
	r.update(func(hist *history) {
		hist.evacuations = append(hist.evacuations, evacuation{dataCentre: h.DataCentre(), from: from, to: to, restored: true})
	})
}

// hostUndisturbed reports whether nothing was done to a host at a time, or within
// recoveryGrace before it. What is done to the store does not count.
func hostUndisturbed(hist history, h *cluster.Host, at time.Time) bool {
	return !slices.ContainsFunc(hist.disturbances, func(d disturbance) bool {
		return d.host == h && d.from.Before(at) && d.to.Add(recoveryGrace).After(at)
	})
}
