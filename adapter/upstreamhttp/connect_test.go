package upstreamhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/internal/pipenet"
	"agateswitch/port"

	"github.com/shoenig/test/must"
)

// A call that waits too long for its connection ends unsent, and the connection serves a later call.
func TestCallWithoutAConnectionInTimeIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dialTime, patience = time.Second, 200 * time.Millisecond
		network := &pipenet.Network{}
		var received []string
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			received = append(received, r.URL.Path)
			w.Header().Set(port.HeaderRequestID, r.Header.Get(port.HeaderRequestID))
			io.WriteString(w, "answer")
		})}
		listener := network.Listen("e:1")
		go server.Serve(listener)
		defer server.Close()
		dials := 0
		client := upstreamhttp.NewWithDial(func(ctx context.Context, name, address string) (net.Conn, error) {
			dials++
			time.Sleep(dialTime)
			return network.Dial(ctx, name, address)
		})
		defer client.Close()
		send := func(path string, patience time.Duration) (port.UpstreamAnswer, *port.UpstreamError) {
			return client.Send(t.Context(), port.UpstreamCall{
				Upstream: fleet.Upstream{ID: "e", Address: "e:1"}, Request: "r", Method: http.MethodPost, Path: path,
				Body: strings.NewReader("body"), ContentLength: 4, ConnectTimeout: patience,
			})
		}
		began := time.Now()
		_, failure := send("/first", patience)
		must.Eq(t, patience, time.Since(began))
		must.ErrorIs(t, failure.Cause, port.ErrConnectTimeout)
		must.Eq(t, fleet.NotRun, failure.Ran)
		must.Eq(t, exchange.FaultUnreachable, failure.Fault)
		time.Sleep(2 * dialTime)
		answer, failure := send("/second", patience)
		must.Nil(t, failure)
		body, err := io.ReadAll(answer.Body)
		must.NoError(t, err)
		must.Eq(t, "answer", string(body))
		answer.Body.Close()
		must.Eq(t, []string{"/second"}, received)
		must.Eq(t, 1, dials)
	})
}
