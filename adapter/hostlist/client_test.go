package hostlist

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const oneRouter = `[{"targets":["127.0.0.1:1"],"labels":{"role":"router","id":"a"}}]`

func serve(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := New(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// A malformed list is an error, not a fleet without hosts.
func TestMalformedListsAreErrors(t *testing.T) {
	for _, body := range []string{"", "null", "{}", "[", oneRouter[:30], strings.Repeat(" ", maxListBytes+1)} {
		client := serve(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) })
		_, err := client.Hosts(t.Context())
		must.Error(t, err, must.Sprint(body[:min(len(body), 40)]))
	}
}

// An entry without an id or an address does not make the rest of the list unusable.
func TestInvalidEntryIsSkipped(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `[{"targets":["127.0.0.1:2"],"labels":{"role":"router"}},{"targets":[""],"labels":{"role":"router","id":"b"}},`+oneRouter[1:])
	})
	hosts, err := client.Hosts(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, hosts.Routers)
}

// A request on a stalled keep-alive connection is retried on a new one.
func TestStalledConnectionIsRetried(t *testing.T) {
	var stalled atomic.Value
	stalled.Store("")
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if stalled.CompareAndSwap("", r.RemoteAddr) {
			io.WriteString(w, oneRouter)
			return
		}
		if stalled.Load() == r.RemoteAddr {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, oneRouter)
	})
	for range 2 {
		hosts, err := client.Hosts(t.Context())
		must.NoError(t, err)
		must.Len(t, 1, hosts.Routers)
	}
}

// For any list, every router that is read has an id.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(oneRouter))
	f.Add([]byte(`[null,{"targets":[""],"labels":null}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		groups, err := decode(strings.NewReader(string(body)))
		if err != nil {
			return
		}
		for _, router := range snapshot(groups).Routers {
			must.NotEq(t, "", string(router.ID))
		}
	})
}
