package scaling

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/core/scaling"
	"agateswitch/node/duty"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

const (
	pool    = fleet.PoolID("farrier-lm")
	here    = fleet.DataCentre("arima")
	boot    = 8 * time.Second
	upTime  = boot/4 + maxInterval
	downFor = boot + 3*time.Second + maxInterval
)

// fixture is the surroundings of a service.
type fixture struct {
	running, engines int
	unable           int
	loadAge, copyAge time.Duration
	hasLoad, relays  bool
	unheard, routers int
	err              error
	calls            []port.EngineOrder
	tokens           []uint64
	out              map[fleet.DataCentre]bool
}

func (f *fixture) ScaledPools() []routing.Pool {
	return []routing.Pool{{ID: pool, ColdStart: 3 * time.Second, Scaling: &routing.Scaling{Min: 39, Max: 94, Boot: boot}}}
}

func (f *fixture) PoolEngines(fleet.PoolID) ([]scaling.Engine, map[fleet.DataCentre]bool) {
	engines := make([]scaling.Engine, f.engines)
	for i := range engines {
		engines[i] = scaling.Engine{DataCentre: here, Slots: 32, Running: f.running*(i+1)/f.engines - f.running*i/f.engines, Unable: i < f.unable}
	}
	return engines, f.out
}

func (f *fixture) Age() (time.Duration, bool) { return f.loadAge, f.hasLoad }
func (f *fixture) Unheard() (int, bool)       { return f.unheard, f.relays }
func (f *fixture) Count() int                 { return f.routers }

func (f *fixture) ReportUsage(context.Context, port.DutyCall, port.UsageReport) error { return nil }

func (f *fixture) OrderEngines(_ context.Context, call port.DutyCall, order port.EngineOrder) error {
	f.calls, f.tokens = append(f.calls, order), append(f.tokens, call.Token)
	if f.err == nil {
		f.engines = order.Engines
	}
	return f.err
}

// grant is a duty.Grant with a fencing token; zero for one that has been lost.
type grant uint64

func (g grant) Send(ctx context.Context, send func(context.Context, port.DutyCall) error) error {
	if g == 0 {
		return errors.Trace(duty.ErrNotHeld)
	}
	return send(ctx, port.DutyCall{Holder: "a", Token: uint64(g)})
}

func newFixture() (*fixture, *Service) {
	f := &fixture{running: 60 * 16, engines: 60, hasLoad: true, routers: 73}
	return f, New(Dependencies{
		Pools: f, Loads: f, Fleet: f, Duties: f, CopyAge: func() time.Duration { return f.copyAge }, MaxCopyAge: 3 * time.Second, Log: log.New(io.Discard),
	})
}

// hold has the service work as the holder for some time.
func hold(t *testing.T, s *Service, g grant, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(s.Work(t.Context(), Subject, g))
	}
}

func TestHolderOrdersOnceWhatTheLoadNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFixture()
		must.Eq(t, []string{Subject}, s.Subjects())
		hold(t, s, 7, downFor)
		must.SliceEmpty(t, f.calls)
		f.running = 80 * 16
		hold(t, s, 7, upTime+time.Minute)
		must.Eq(t, []port.EngineOrder{{Pool: pool, DataCentre: here, Engines: 80}}, f.calls)
		must.Eq(t, []uint64{7}, f.tokens)
		f.running = 0
		hold(t, s, 7, time.Minute)
		must.Eq(t, 39, f.engines)
	})
}

func TestNothingIsOrderedWhileTheNeedIsUnknown(t *testing.T) {
	for problem, spoil := range map[string]func(*fixture){
		problemNoLoad:    func(f *fixture) { f.hasLoad = false },
		problemLoadLate:  func(f *fixture) { f.loadAge = maxLoadAge + 1 },
		problemUnheard:   func(f *fixture) { f.unheard = 8 },
		problemEntryLate: func(f *fixture) { f.copyAge = 3*time.Second + 1 },
		problemUnable:    func(f *fixture) { f.unable = 31 },
		"relay":          func(f *fixture) { f.unheard, f.relays = 1, true },
	} {
		synctest.Test(t, func(t *testing.T) {
			f, s := newFixture()
			sound := *f
			f.running = 90 * 16
			spoil(f)
			hold(t, s, 7, time.Minute)
			must.SliceEmpty(t, f.calls, must.Sprint(problem))
			must.True(t, s.Plans()[0].Problem == problem || problem == "relay", must.Sprint(problem))
			*f = sound
			f.running = 90 * 16
			hold(t, s, 7, upTime)
			must.Len(t, 1, f.calls, must.Sprint(problem))
		})
	}
}

func TestFailedOrders(t *testing.T) {
	for _, c := range []struct {
		err         error
		again, want time.Duration
	}{
		{port.ErrDutyRateLimited, retryDelay, 5 * time.Second},
		{errors.New("connection reset"), retryDelay, 5 * time.Second},
		{port.ErrDutyRejected, rejectedDelay, 2 * rejectedDelay},
	} {
		synctest.Test(t, func(t *testing.T) {
			f, s := newFixture()
			f.running, f.err = 80*16, errors.Annotate(c.err, "ordering")
			hold(t, s, 7, upTime+c.want)
			must.Between(t, 2, len(f.calls), int(c.want/c.again)+1, must.Sprint(c.err))
			f.err = nil
			hold(t, s, 7, 2*c.again)
			must.Eq(t, 80, f.engines)
			count := len(f.calls)
			hold(t, s, 7, downFor)
			must.Len(t, count, f.calls)
		})
	}
}

func TestLostDutySendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFixture()
		f.running = 80 * 16
		hold(t, s, 0, time.Minute)
		must.SliceEmpty(t, f.calls)
	})
}

// A router that holds the duty again doesn't know what its successor has ordered meanwhile.
func TestHolderThatReturnsBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFixture()
		f.running = 80 * 16
		hold(t, s, 7, upTime)
		must.Eq(t, 80, f.engines)
		time.Sleep(time.Minute)
		must.False(t, s.Plans()[0].Held)
		f.engines, f.running = 90, 10*16
		hold(t, s, 9, downFor-2*maxInterval)
		must.Len(t, 1, f.calls)
		must.Eq(t, 90, s.Plans()[0].Ordered)
	})
}

func TestPlansAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFixture()
		f.out = map[fleet.DataCentre]bool{here: true}
		hold(t, s, 7, time.Second)
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, Path, nil))
		var plans []Plan
		must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &plans))
		must.Len(t, 1, plans)
		must.True(t, plans[0].Held && plans[0].Out)
		must.Eq(t, string(scaling.ReasonWatching), plans[0].Reason)
		recorder = httptest.NewRecorder()
		s.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, Path, nil))
		must.Eq(t, http.StatusMethodNotAllowed, recorder.Code)
	})
}
