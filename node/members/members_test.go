package members

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/drain"
	"agateswitch/core/fleet"
	"agateswitch/core/membership"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// maxReactionTime is the time after which a leaving upstream or data centre must get no new work.
const maxReactionTime = 5 * time.Second

// fakePlatform provides a host list and a configuration that the test changes.
type fakePlatform struct {
	mu       sync.Mutex
	list     port.HostSnapshot
	down     bool
	snapshot *configuration.Snapshot
}

// Hosts implements port.HostList.
func (f *fakePlatform) Hosts(context.Context) (port.HostSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return port.HostSnapshot{}, errors.New("down")
	}
	return f.list, nil
}

// Current implements port.Configuration.
func (f *fakePlatform) Current() *configuration.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fakePlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// setDataCentre puts a revision in force that takes a data centre out of service or returns it.
func (f *fakePlatform) setDataCentre(value string) {
	f.set(func() {
		revision := f.snapshot.Revision() + 1
		key := configuration.Key{Kind: configuration.KindDataCentre, Name: "arima"}
		f.snapshot, _, _ = f.snapshot.Apply(configuration.Delta{From: revision - 1, To: revision, Items: []configuration.Item{
			{Key: key, Revision: revision, Value: []byte(value)},
		}})
	})
}

func upstreams(state fleet.LifeState) []fleet.Upstream {
	return []fleet.Upstream{
		{ID: "e1", Pool: "p", DataCentre: "arima", State: state},
		{ID: "e2", Pool: "p", DataCentre: "tunapuna", State: fleet.Live},
	}
}

func usable(service *Service) map[fleet.UpstreamID]float64 {
	weights := map[fleet.UpstreamID]float64{}
	for _, upstream := range service.Usable("p") {
		weights[upstream.ID] = upstream.Weight
	}
	return weights
}

// Leaving upstreams and data centres get no new work once maxReactionTime has elapsed. During an
// outage of the host list the last view remains. A data centre returns with its ramp, and a flapping
// upstream is held down.
func TestUsableFollowsTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		platform := &fakePlatform{snapshot: configuration.Empty(), list: port.HostSnapshot{Upstreams: upstreams(fleet.Live)}}
		service := New(fleet.Host{ID: "self", State: fleet.Live}, platform, platform, port.Telemetry{Log: log.New(io.Discard)})
		go service.Run(ctx)
		<-service.Refreshed()
		both := map[fleet.UpstreamID]float64{"e1": 1, "e2": 1}
		one := map[fleet.UpstreamID]float64{"e2": 1}
		must.Eq(t, both, usable(service))

		platform.set(func() { platform.list = port.HostSnapshot{Upstreams: upstreams(fleet.Leaving)} })
		<-time.After(maxReactionTime)
		must.Eq(t, one, usable(service))
		platform.set(func() { platform.down = true })
		<-time.After(time.Hour)
		must.Eq(t, one, usable(service))
		platform.set(func() { platform.down, platform.list = false, port.HostSnapshot{Upstreams: upstreams(fleet.Live)} })
		<-time.After(maxReactionTime)
		must.Eq(t, both, usable(service))

		platform.setDataCentre(`{"name":"arima","out":true,"changed_ms":1}`)
		must.Eq(t, one, usable(service))
		back := drain.Change(configuration.DataCentre{Name: "arima", Out: true}, false, 0, time.Now())
		value, err := json.Marshal(back)
		must.NoError(t, err)
		platform.setDataCentre(string(value))
		must.Eq(t, drain.RampStartWeight, usable(service)["e1"])
		<-time.After(configuration.DefaultRampSeconds * time.Second)
		must.Eq(t, both, usable(service))

		for range membership.FlapThreshold {
			platform.set(func() { platform.list = port.HostSnapshot{Upstreams: upstreams(fleet.Leaving)} })
			<-time.After(2 * PollInterval)
			platform.set(func() { platform.list = port.HostSnapshot{Upstreams: upstreams(fleet.Live)} })
			<-time.After(2 * PollInterval)
		}
		must.Eq(t, one, usable(service))
		<-time.After(membership.HoldDownMax)
		must.Eq(t, both, usable(service))
	})
}
