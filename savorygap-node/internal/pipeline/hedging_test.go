package pipeline_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestHedging_SettingLimitsHedges guards against a setting that does not reach the router:
// hedges are counted and stay within the share of the reads that were sent.
func TestHedging_SettingLimitsHedges(t *testing.T) {
	cl := newCluster(t)
	cl.settings = "hedging: {share: 0.1, quantile: 0.9}\n"
	a, b, c := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 20*time.Millisecond), cl.addHost(t, "shop", 20*time.Millisecond)
	metrics := func() string {
		response, err := http.Get("http://" + a.addresses["metrics"] + "/metrics")
		must.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		return string(text)
	}
	reads := 0
	eventually(t, 20*time.Second, func() bool {
		for n := range 30 {
			if n == 20 {
				b.server.SetServiceTime(200 * time.Millisecond)
				c.server.SetServiceTime(200 * time.Millisecond)
			}
			must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", fmt.Sprint("id-", reads), "").status)
			reads++
		}
		b.server.SetServiceTime(20 * time.Millisecond)
		c.server.SetServiceTime(20 * time.Millisecond)
		return strings.Contains(metrics(), `savorygap_hedges_total{event="sent",reason="",service="shop"}`)
	})
	arrived := len(takeRequestIDs(b.server)) + len(takeRequestIDs(c.server))
	must.LessEq(t, 0.1*float64(reads)+1, float64(arrived-reads))
}
