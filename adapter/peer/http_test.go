package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/internal/pipenet"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// serveHTTPAt starts a router whose HTTP server answers with the calling router's id.
func serveHTTPAt(t *testing.T, network *pipenet.Network, id fleet.HostID) {
	called := NewWithDial(network.Dial, id, directory{}, testKey, log.New(io.Discard))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	listener := network.Listen(string(id) + ":1")
	go func() { called.Serve(ctx, listener); done <- struct{}{} }()
	type callerKey struct{}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, string(r.Context().Value(callerKey{}).(fleet.HostID)))
		}),
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			from, _ := CallingRouter(connection)
			return context.WithValue(ctx, callerKey{}, from)
		},
	}
	go func() { server.Serve(called.HTTPListener()); done <- struct{}{} }()
	t.Cleanup(func() {
		server.Close()
		stop()
		<-done
		<-done
	})
}

// get requests something of router b over a connection of a's mesh.
func get(a *Mesh) (string, error) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return a.DialHTTP(ctx, "b") },
	}}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://b.router/")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestHTTPBetweenRoutersNeedsTheKeyOfTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Network{}
		serveHTTPAt(t, network, "b")
		body, err := get(NewWithDial(network.Dial, "a", directory{}, testKey, log.New(io.Discard)))
		must.NoError(t, err)
		must.Eq(t, "a", body)
		_, err = get(NewWithDial(network.Dial, "a", directory{}, strings.Repeat("x", 40), log.New(io.Discard)))
		must.ErrorIs(t, err, errUnauthenticated)
	})
}

// A router that does not know connections for HTTP must not get a request on one.
func TestNoRequestIsSentToARouterThatKnowsNoHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Network{}
		listener := network.Listen("b:1")
		received := make(chan []byte, 1)
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			var greeting hello
			readFrame(connection, maxHandshakeFrame, &greeting)
			sent := challenge{Nonce: newNonce()}
			sent.Proof = computeProof([]byte(testKey), roleCalled, greeting, sent.Nonce)
			writeFrame(connection, sent)
			rest, _ := io.ReadAll(connection)
			received <- rest
		}()
		_, err := get(NewWithDial(network.Dial, "a", directory{}, testKey, log.New(io.Discard)))
		must.ErrorContains(t, err, "does not support")
		must.SliceEmpty(t, <-received)
	})
}

func TestHTTPConnectionToASilentRouterFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Network{}
		network.Listen("b:1")
		began := time.Now()
		_, err := NewWithDial(network.Dial, "a", directory{}, testKey, log.New(io.Discard)).DialHTTP(t.Context(), "b")
		must.Error(t, err)
		must.Eq(t, dialTimeout, time.Since(began))
	})
}
