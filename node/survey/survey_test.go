package survey

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/fleethealth"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// routers is a fleet whose routers share one report. Those of the data centre lost do not answer.
type routers struct {
	hosts   []fleet.Host
	lost    fleet.DataCentre
	handler port.PeerHandler
	// calls is the number of calls in progress, and most the largest such number.
	calls, most atomic.Int32
}

func (r *routers) Routers() []fleet.Host { return r.hosts }

func (r *routers) Handle(_ string, handler port.PeerHandler) { r.handler = handler }

func (r *routers) Call(ctx context.Context, to fleet.HostID, _ string, _, response any) error {
	r.most.Store(max(r.most.Load(), r.calls.Add(1)))
	defer r.calls.Add(-1)
	for _, host := range r.hosts {
		if host.ID == to && host.DataCentre == r.lost {
			<-ctx.Done()
			return port.ErrPeerUnreachable
		}
	}
	select {
	case <-time.After(20 * time.Millisecond):
	case <-ctx.Done():
		return port.ErrPeerUnreachable
	}
	answer, err := r.handler(ctx, "asking", nil)
	if err != nil {
		return err
	}
	body, err := msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(body, response)
}

// screenLines is the height of a terminal.
const screenLines = 40

// An operator gets the state of a large fleet within a second, and on one screen, also when a data centre or the
// whole fleet is silent.
func TestSurveyOfALargeFleetTakesLessThanASecond(t *testing.T) {
	for lost, silent := range map[fleet.DataCentre]int{"": 0, "zone-2": 77, "everywhere": 383} {
		synctest.Test(t, func(t *testing.T) {
			f := &routers{lost: lost}
			for i := range 383 {
				zone := fleet.DataCentre(fmt.Sprint("zone-", i%5))
				if lost == "everywhere" {
					zone = lost
				}
				f.hosts = append(f.hosts, fleet.Host{ID: fleet.HostID(fmt.Sprintf("front-%03d", i)), DataCentre: zone})
			}
			own := func() fleethealth.Report {
				return fleethealth.Report{Version: 4, CopyAge: time.Second, StateAge: 2 * time.Second, WatchesStore: true}
			}
			s := New(f, f, own, 3*time.Second, log.New(io.Discard))
			startedAt := time.Now()
			response := httptest.NewRecorder()
			s.ServeHTTP(response, httptest.NewRequest("GET", Path, nil))
			must.LessEq(t, time.Second, time.Since(startedAt))
			must.LessEq(t, maxCalls, f.most.Load())
			var summary fleethealth.Summary
			must.NoError(t, json.Unmarshal(response.Body.Bytes(), &summary))
			must.Eq(t, 383, summary.Routers)
			must.Eq(t, silent, len(summary.Doubts)+summary.FurtherDoubts)
			must.LessEq(t, screenLines, len(summary.Doubts)+len(summary.DataCentres)+3)
			total := fleethealth.DataCentre{}
			for _, dataCentre := range summary.DataCentres {
				total.Silent += dataCentre.Silent
				total.Watching += dataCentre.Watching
			}
			must.Eq(t, silent, total.Silent)
			must.Eq(t, 383-silent, total.Watching)
		})
	}
}

func TestSurveyIsReadOnly(t *testing.T) {
	f := &routers{}
	s := New(f, f, func() fleethealth.Report { return fleethealth.Report{} }, time.Second, log.New(io.Discard))
	response := httptest.NewRecorder()
	s.ServeHTTP(response, httptest.NewRequest("POST", Path, nil))
	must.Eq(t, 405, response.Code)
}
