package detour

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"agateswitch/core/detour"
	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/port"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

type noFleet struct{}

func (noFleet) Neighbours() (near, far []fleet.HostID) { return nil, nil }

// fakeUpstreams answers as another router does.
type fakeUpstreams struct {
	port.Upstreams
	called  port.UpstreamCall
	report  *Report
	failure *port.UpstreamError
}

func (f *fakeUpstreams) Send(_ context.Context, call port.UpstreamCall) (port.UpstreamAnswer, *port.UpstreamError) {
	f.called = call
	if f.failure != nil {
		return port.UpstreamAnswer{}, f.failure
	}
	header := http.Header{}
	if f.report != nil {
		if err := WriteReport(header, call.Request, *f.report); err != nil {
			panic(err)
		}
	}
	return port.UpstreamAnswer{Status: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader("answer"))}, nil
}

var order = Order{
	Route: "visit", Kind: routing.Streaming, Target: time.Second, Pool: "lm", Team: "one", Rank: 2, TimeLeft: 3 * time.Second,
	Tried: []fleet.UpstreamID{"e1"}, ResumeAfter: "7", EngineEnded: true,
}

func send(f *fakeUpstreams) (port.UpstreamAnswer, *Report, *port.UpstreamError) {
	return New(noFleet{}, f, 1).Send(context.Background(), "front-1", order, port.UpstreamCall{Request: "r", Header: http.Header{}})
}

func TestOrderReachesTheOtherRouterAndItsHeaderGoesNoFurther(t *testing.T) {
	f := &fakeUpstreams{report: &Report{Outcome: detour.Reached, Upstream: "e2"}}
	answer, report, failure := send(f)
	must.Nil(t, failure)
	must.Eq(t, "e2", report.Upstream)
	must.MapEmpty(t, answer.Header)
	id, err := ParseAddress(f.called.Upstream.Address + ":80")
	must.NoError(t, err)
	must.Eq(t, "front-1", id)
	got, err := ReadOrder(f.called.Header)
	must.NoError(t, err)
	must.Eq(t, order, got)
	must.MapEmpty(t, f.called.Header)
}

// Whether a request has run is the other router's word; without it, a request that was sent may have.
func TestFailureTellsWhetherTheRequestRan(t *testing.T) {
	_, report, failure := send(&fakeUpstreams{report: &Report{Outcome: detour.NoPath, Failed: true, Ran: fleet.NotRun, Cause: "none"}})
	must.Eq(t, fleet.NotRun, failure.Ran)
	must.Eq(t, detour.NoPath, report.Outcome)
	_, report, failure = send(&fakeUpstreams{failure: &port.UpstreamError{Ran: fleet.RanUnknown, Cause: errors.New("lost")}})
	must.Eq(t, fleet.RanUnknown, failure.Ran)
	must.Nil(t, report)
	_, report, failure = send(&fakeUpstreams{})
	must.Eq(t, fleet.RanUnknown, failure.Ran)
	must.Nil(t, report)
}

func TestReportsOfEarlierVersionsNameNoArrival(t *testing.T) {
	const earlier = `{"outcome":"no_path","upstream":"e2","failed":true,"ran":"not_run","cause":"another upstream has the address"}`
	report, err := readReport(http.Header{headerReport: {earlier}})
	must.NoError(t, err)
	must.False(t, report.Arrived)
	must.Eq(t, detour.NoPath, report.Outcome)
	header := http.Header{}
	report.Arrived = true
	must.NoError(t, WriteReport(header, "r", report))
	var fields map[string]any
	must.NoError(t, json.Unmarshal([]byte(header.Get(headerReport)), &fields))
	delete(fields, "arrived")
	must.MapLen(t, 5, fields)
}

func TestRequestsOfOthersAreBounded(t *testing.T) {
	s := New(noFleet{}, nil, 0)
	var ends []func()
	for {
		end, admitted := s.Begin(0)
		if !admitted {
			break
		}
		ends = append(ends, end)
	}
	must.Len(t, detour.Limit(0), ends)
	ends[0]()
	_, admitted := s.Begin(0)
	must.True(t, admitted)
}
