package hosts

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"agateswitch/adapter/hostlist"

	"github.com/shoenig/test/must"
)

// countingWriter counts the bytes of response bodies.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c countingWriter) Write(body []byte) (int, error) {
	c.bytes.Add(int64(len(body)))
	return c.ResponseWriter.Write(body)
}

// An unchanged list is not sent again. A change is seen at the next read.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	var sent atomic.Int64
	list := New()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list.ServeHTTP(countingWriter{w, &sent}, r)
	}))
	defer server.Close()
	client := hostlist.New(strings.TrimPrefix(server.URL, "http://"))
	read := func() (upstreams int, bytes int64) {
		before := sent.Load()
		hosts, err := client.Hosts(t.Context())
		must.NoError(t, err)
		return len(hosts.Upstreams), sent.Load() - before
	}
	add := func(id string) {
		list.Put(hostlist.TargetGroup{Targets: []string{"127.0.0.1:1"}, Labels: map[string]string{
			hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: id,
		}})
	}
	add("e1")
	read()
	upstreams, bytes := read()
	must.Eq(t, 1, upstreams)
	must.Eq(t, 0, bytes)
	add("e2")
	upstreams, bytes = read()
	must.Eq(t, 2, upstreams)
	must.Positive(t, bytes)
}
