package pipeline_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestForeignEntries_NodesFollowTheList guards against nodes that end, or stop following
// the store or their server, because another writer left an odd entry.
func TestForeignEntries_NodesFollowTheList(t *testing.T) {
	cl := newCluster(t)
	a, b := cl.addHost(t, "till", 0), cl.addHost(t, "shop", 0)
	odd := []string{
		"", "null", "[]", "\x00\xff", strings.Repeat("[", 1<<18),
		`{"address":"127.0.0.1:99999","service":"shop"}`, `{"address":"127.0.0.1:7000","service":"shop","read":1e400}`,
		`{"address":7,"service":{}}`, `{"address":"nowhere","service":"shop"}`,
	}
	for n, text := range odd {
		cl.store.Put(fmt.Sprint("savorygap/member/odd-", n), []byte(text))
		cl.store.Put(fmt.Sprint("savorygap/departure/odd-", n), []byte(text))
		cl.store.Put("savorygap/member/", []byte(text))
	}
	cl.store.Put("savorygap/departure/"+b.name, []byte("99999999999999999999 i-other"))
	for _, body := range append(odd,
		`{"Address":"127.0.0.1:99999","born":9000000000000000000,"Info":{"Service":"shop","Slots":4},"Status":{"State":"ready","Sequence":9}}`,
		`{"Address":"127.0.0.1:1","Info":{"Service":"shop","Slots":4},"Status":{"State":"ready","Sequence":1e30}}`) {
		for _, id := range []string{"i-other", b.server.ID()} {
			request, err := http.NewRequest(http.MethodPut, "http://"+b.addresses["announcements"]+"/v1/instances/"+id, strings.NewReader(body))
			must.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			must.Eq(t, http.StatusBadRequest, response.StatusCode, must.Sprint(body))
		}
	}
	c := cl.addHost(t, "shop", 0)
	b.announce(t, "draining")
	cl.awaitAccepting(t, b, "shop", false)
	must.Eq(t, http.StatusOK, a.mustSend(t, http.MethodGet, "/read/1", "id-1", "").status)
	must.Eq(t, []string{"id-1"}, takeRequestIDs(c.server))
	b.kill()
	b.start(t)
	eventually(t, 5*time.Second, func() bool { return b.mustSend(t, http.MethodGet, "/read/1", "id-2", "").status == http.StatusOK })
}
