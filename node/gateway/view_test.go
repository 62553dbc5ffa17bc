package gateway

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/core/routing"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// slowCodec decodes a desired state only once release is closed. An upstream's entry is its state.
type slowCodec struct {
	port.EntryCodec
	release chan struct{}
}

func (c slowCodec) Decode(key string, value []byte) port.DecodedEntry {
	if key == "desired" {
		<-c.release
		return port.DecodedEntry{Desired: &routing.State{Version: int64(len(value))}}
	}
	return port.DecodedEntry{Engine: &port.EngineEntry{
		Upstream: fleet.Upstream{ID: fleet.UpstreamID(key), Pool: "pool", State: fleet.LifeState(value)},
	}}
}

func newTestView(codec port.EntryCodec) *view {
	return newView(codec, func(fleet.UpstreamID) {}, func(fleet.UpstreamID, int64) bool { return false }, log.New(io.Discard))
}

func TestLeaveMarkIsAppliedWhileADesiredStateIsDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		codec := slowCodec{release: make(chan struct{})}
		v := newTestView(codec)
		write := func(state fleet.LifeState, number int64) {
			v.applyChanges([]replica.Change{{Entry: port.Entry{Key: "e1", Value: []byte(state), Revision: revision.Revision{Number: number}}}})
		}
		v.table = routing.Compile(routing.State{Version: 1})
		write(fleet.Live, 1)
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			v.applyDesired(port.Entry{Key: "desired", Value: []byte("12"), Revision: revision.Revision{Number: 2}})
		}()
		time.Sleep(time.Second)
		write(fleet.Leaving, 3)
		engine := v.current.Load().engines["pool"][0]
		must.Eq(t, fleet.Leaving, engine.upstream().State)
		must.False(t, v.current.Load().acceptsWork("pool", engine))
		close(codec.release)
		<-applied
		must.Eq(t, 2, v.current.Load().table.State.Version)
		must.False(t, v.current.Load().acceptsWork("pool", engine))
	})
}

// Desired states may be applied in another order than that of their versions.
func TestOlderDesiredStateIsNotPutInForce(t *testing.T) {
	codec := slowCodec{release: make(chan struct{})}
	close(codec.release)
	v := newTestView(codec)
	v.applyDesired(port.Entry{Key: "desired", Value: []byte("123"), Revision: revision.Revision{Number: 2}})
	v.applyDesired(port.Entry{Key: "desired", Value: []byte("12"), Revision: revision.Revision{Number: 3}})
	must.Eq(t, 3, v.current.Load().table.State.Version)
}
