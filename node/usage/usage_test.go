package usage

import (
	"context"
	"fmt"
	"io"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/node/duty"
	"agateswitch/port"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// network joins services without a network. It also is what they use of the platform and of the other parts of a router.
type network struct {
	handlers map[fleet.HostID]map[string]port.PeerHandler
	down     map[fleet.HostID]bool
	reports  []port.UsageReport
	fails    bool
}

type end struct {
	*network
	id fleet.HostID
}

func (e end) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	if e.down[to] || e.down[e.id] {
		return port.ErrPeerUnreachable
	}
	content, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := e.handlers[to][method](ctx, e.id, func(into any) error { return msgpack.Unmarshal(content, into) })
	if err != nil {
		return err
	}
	content, err = msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(content, response)
}

func (e end) Handle(method string, handler port.PeerHandler) {
	if e.handlers[e.id] == nil {
		e.handlers[e.id] = map[string]port.PeerHandler{}
	}
	e.handlers[e.id][method] = handler
}

func (e end) Count() int { return len(e.handlers) }

// First returns the routers in the order of their names.
func (e end) First(_ string, count int) []fleet.HostID {
	var first []fleet.HostID
	for i := range len(e.handlers) {
		if id := name(i); len(first) < count && !e.down[id] {
			first = append(first, id)
		}
	}
	return first
}

func (e end) Now() time.Duration {
	return time.Duration(time.Now().UnixNano()) - time.Duration(len(e.id))
}

func (e end) ReportUsage(_ context.Context, _ port.DutyCall, report port.UsageReport) error {
	e.reports = append(e.reports, report)
	if e.fails {
		return errors.New("no answer")
	}
	return nil
}

func (e end) OrderEngines(context.Context, port.DutyCall, port.EngineOrder) error { return nil }

func (e end) Send(ctx context.Context, send func(context.Context, port.DutyCall) error) error {
	return send(ctx, port.DutyCall{Holder: e.id})
}

func name(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("router-%d", i)) }

// eraStore is a store that can be restored without its content.
type eraStore struct {
	*store.Direct
	era *int64
}

func (s eraStore) Era() int64     { return *s.era }
func (s eraStore) LearnEra(int64) {}

const window = 5 * time.Second

// play runs routers that share counts, in virtual time, from the start of a window on.
func play(t *testing.T, routers int, script func(n *network, services []*Service, kept *eraStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		n := &network{handlers: map[fleet.HostID]map[string]port.PeerHandler{}, down: map[fleet.HostID]bool{}}
		kept := &eraStore{store.NewDirect(), new(int64)}
		var services []*Service
		for i := range routers {
			e := end{n, name(i)}
			services = append(services, New(e.id, kept, e, e, e, e, Options{Window: window, Late: 10 * time.Second}, log.New(io.Discard)))
		}
		for _, s := range services {
			go s.Run(ctx)
		}
		script(n, services, kept)
	})
}

func work(n *network, s *Service) {
	s.Work(context.Background(), subject, duty.Grant(end{n, s.self.Host}))
}

// requests returns the sum of the last report of each window, in order.
func (n *network) requests() map[int64]int {
	totals := map[int64]int{}
	for _, report := range n.reports {
		totals[report.Window] = sum(report.Counts)
	}
	return totals
}

// A router that is killed half a second after it has counted loses nothing, also if all keepers but one are killed with it.
func TestCountsOutliveKilledRouters(t *testing.T) {
	play(t, 12, func(n *network, services []*Service, _ *eraStore) {
		first := services[0].windows.Of(time.Now())
		for i, s := range services {
			for range i + 1 {
				s.Begin("team")
			}
		}
		time.Sleep(time.Second)
		for i := range services {
			n.down[name(i)] = i != 4
		}
		time.Sleep(window + 2*time.Second)
		work(n, services[4])
		must.Eq(t, 12*13/2, n.requests()[first])
	})
}

// A successor repeats the report of a holder whose answer was lost, also if it has counted further requests of the window since.
func TestSuccessorRepeatsTheExactReport(t *testing.T) {
	play(t, 3, func(n *network, services []*Service, _ *eraStore) {
		first := services[0].windows.Of(time.Now())
		services[2].Begin("team")
		n.fails = true
		time.Sleep(window + 3*time.Second)
		work(n, services[0])
		services[1].mu.Lock()
		services[1].counter.Add(services[1].self, first, "late")
		services[1].mu.Unlock()
		n.fails = false
		work(n, services[1])
		must.Positive(t, len(n.reports))
		contents := map[int64]port.UsageReport{}
		for _, report := range n.reports {
			known, found := contents[report.Window]
			must.True(t, !found || reflect.DeepEqual(known, report), must.Sprint(known, report))
			contents[report.Window] = report
		}
		must.Eq(t, 1, sum(contents[first].Counts))
	})
}

// After a restore of the store a window that may have been reported before it is not reported with another content.
func TestNoSecondReportAfterARestore(t *testing.T) {
	for _, isKnown := range []bool{true, false} {
		play(t, 3, func(n *network, services []*Service, kept *eraStore) {
			first := services[0].windows.Of(time.Now())
			services[0].Begin("team")
			time.Sleep(window + 2*time.Second)
			n.down[name(2)] = !isKnown
			work(n, services[0])
			time.Sleep(time.Second)
			n.down = map[fleet.HostID]bool{name(0): true, name(1): true}
			kept.Direct, *kept.era = store.NewDirect(), 1
			time.Sleep(time.Second)
			services[2].Begin("team")
			services[2].mu.Lock()
			services[2].counter.Add(services[2].self, first, "late")
			services[2].mu.Unlock()
			work(n, services[2])
			count := 0
			for _, report := range n.reports {
				if report.Window == first {
					must.Eq(t, map[fleet.Team]int{"team": 1}, report.Counts)
					count++
				}
			}
			must.Eq(t, map[bool]int{true: 2, false: 1}[isKnown], count)
		})
	}
}
