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

// evidenceRecorder is a port.Placer and port.Versions that records the evidence of calls.
type evidenceRecorder struct {
	port.Versions
	upstream fleet.Upstream
	recorded []fleet.Evidence
}

func (o *evidenceRecorder) Acquire(context.Context, fleet.Request) (fleet.Grant, *fleet.Refusal) {
	return fleet.Grant{Upstream: o.upstream}, nil
}
func (o *evidenceRecorder) Release(fleet.Grant, fleet.Completion)                    {}
func (o *evidenceRecorder) Explain(context.Context, fleet.Request) ([]string, error) { return nil, nil }
func (o *evidenceRecorder) Observe(evidence fleet.Evidence) {
	o.recorded = append(o.recorded, evidence)
}

// discardSink is a Sink that discards answers. With err, it behaves as if the caller disconnected.
type discardSink struct{ err error }

func (d discardSink) Answer(_ int, _ http.Header, body io.Reader) error {
	io.Copy(io.Discard, body)
	return d.err
}
func (discardSink) Refuse(*fleet.Refusal) {}

// The evidence of a version that is slow or fails on one route is recorded for that route only, and a
// call whose caller disconnected is not recorded.
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
		o := &evidenceRecorder{upstream: fleet.Upstream{ID: "s1", Address: "s1:80", Version: "2"}}
		s := New(o, upstreams, o, nil, port.Telemetry{Log: log.New(io.Discard)})
		call := func(path string, sink Sink) {
			s.Run(t.Context(), Call{Pool: configuration.Pool{Name: "rounds"}, Method: http.MethodGet, Path: path}, sink)
		}
		call("/slow/1?horse=7", discardSink{})
		call("/broken/2", discardSink{})
		call("/fine/3", discardSink{})
		call("/fine/4", discardSink{err: io.ErrClosedPipe})
		evidence := func(route string, failed bool, first time.Duration) fleet.Evidence {
			return fleet.Evidence{Pool: "rounds", Version: "2", Upstream: "s1", Route: route, Failed: failed, FirstToken: first}
		}
		must.Eq(t, []fleet.Evidence{
			evidence("GET /slow", false, delay), evidence("GET /broken", true, 0), evidence("GET /fine", false, 0),
		}, o.recorded)
	})
}

// A segment that may be an identifier must not appear in a route's name: evidence would be split into
// a route for each call.
func TestRouteOf(t *testing.T) {
	for _, c := range [][3]string{
		{"POST", "/bookings/8f2a/lines", "POST /bookings"}, {"GET", "/v1/bookings/9?x=/y", "GET /v1/bookings"},
		{"GET", "/8f2a", "GET /*"}, {"GET", "/v1/77", "GET /v1/*"}, {"GET", "", "GET /"}, {"GET", "/a%2Fb", "GET /*"},
		{"BREW", "/pots", "* /pots"}, {"PUT", "/abcdefghijklmnopqrstuvwxyzabcdefg", "PUT /*"},
	} {
		must.Eq(t, c[2], routeOf(c[0], c[1]))
	}
}
