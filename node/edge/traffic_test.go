package edge

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/internal/logtest"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

func TestTrafficIsReportedForEachInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int64
		buffer := &logtest.Buffer{}
		none := func() (int64, int64) { return 0, 0 }
		report := trafficReport{
			store: func() (int64, int64) { return 0, received.Load() }, routers: none, log: log.New(buffer),
		}
		ctx, cancel := context.WithCancel(t.Context())
		go report.run(ctx)
		received.Add(700)
		time.Sleep(trafficLogInterval + time.Second)
		received.Add(50)
		time.Sleep(trafficLogInterval)
		cancel()
		synctest.Wait()
		lines := strings.Split(strings.TrimSpace(buffer.String()), "\n")
		must.Len(t, 2, lines)
		must.StrContains(t, lines[0], "store_received=700")
		must.StrContains(t, lines[1], "store_received=50")
	})
}
