package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/internal/pipenet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// observer keeps the evidence of calls.
type observer struct {
	port.Versions
	upstream fleet.Upstream
	seen     []fleet.Evidence
}

func (o *observer) Acquire(context.Context, fleet.Request) (fleet.Grant, *fleet.Refusal) {
	return fleet.Grant{Upstream: o.upstream}, nil
}
func (o *observer) Release(fleet.Grant, fleet.Completion)                    {}
func (o *observer) Explain(context.Context, fleet.Request) ([]string, error) { return nil, nil }
func (o *observer) Observe(evidence fleet.Evidence)                          { o.seen = append(o.seen, evidence) }

// discard is a Sink without a caller, or with one that went away.
type discard struct{ err error }

func (d discard) Answer(_ int, _ http.Header, body io.Reader) error {
	io.Copy(io.Discard, body)
	return d.err
}
func (discard) Refuse(*fleet.Refusal) {}

// A version that is slow, or fails, on one route only shows it on that route, and a caller
// that goes away shows nothing.
func TestEvidenceOfPlainCalls(t *testing.T) {
	const delay = 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		mux := http.NewServeMux()
		mux.HandleFunc("/slow/", func(w http.ResponseWriter, _ *http.Request) { <-time.After(delay) })
		mux.HandleFunc("/broken/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
		mux.HandleFunc("/fine/", func(http.ResponseWriter, *http.Request) {})
		server := &http.Server{Handler: mux}
		go server.Serve(network.Listen("s1:80"))
		t.Cleanup(func() { server.Close() })
		upstreams := upstreamhttp.NewWithDial(network.Dial)
		t.Cleanup(upstreams.Close)
		o := &observer{upstream: fleet.Upstream{ID: "s1", Address: "s1:80", Version: "2"}}
		s := New(o, upstreams, o, nil, port.Telemetry{Log: log.New(io.Discard)})
		call := func(path string, sink Sink) {
			s.Run(t.Context(), Call{Pool: configuration.Pool{Name: "rounds"}, Method: http.MethodGet, Path: path}, sink)
		}
		call("/slow/1?horse=7", discard{})
		call("/broken/2", discard{})
		call("/fine/3", discard{})
		call("/fine/4", discard{err: io.ErrClosedPipe})
		evidence := func(route string, failed bool, first time.Duration) fleet.Evidence {
			return fleet.Evidence{Pool: "rounds", Version: "2", Upstream: "s1", Route: route, Failed: failed, FirstToken: first}
		}
		must.Eq(t, []fleet.Evidence{
			evidence("GET /slow", false, delay), evidence("GET /broken", true, 0), evidence("GET /fine", false, 0),
		}, o.seen)
	})
}

func TestRouteOf(t *testing.T) {
	for _, c := range [][3]string{
		{"POST", "/bookings/8f2a/lines", "POST /bookings"}, {"GET", "/v1/bookings/9?x=/y", "GET /v1/bookings"},
		{"GET", "/8f2a", "GET /*"}, {"GET", "/v1/77", "GET /v1/*"}, {"GET", "", "GET /"}, {"GET", "/a%2Fb", "GET /*"},
		{"BREW", "/pots", "* /pots"}, {"PUT", "/abcdefghijklmnopqrstuvwxyzabcdefg", "PUT /*"},
	} {
		must.Eq(t, c[2], routeOf(c[0], c[1]))
	}
}
