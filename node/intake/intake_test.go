package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// A client that stops short of its end used to keep what it had sent until its deadline, which it chooses.
func TestStalledBodyGivesWayToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 64 << 10
		account := NewAccount(6 * size)
		stalledBody, stalledClient := io.Pipe()
		stalled := account.NewHolder(func() { stalledBody.CloseWithError(io.ErrUnexpectedEOF) })
		ended := make(chan error, 1)
		go func() {
			_, err := stalled.ReadBody(t.Context(), stalledBody, size)
			stalled.Close()
			ended <- err
		}()
		_, err := stalledClient.Write(make([]byte, size-1))
		must.NoError(t, err)
		time.Sleep(30 * time.Second)
		ordinary := account.NewHolder(func() {})
		sent := bytes.Repeat([]byte("x"), 2*size)
		got, err := ordinary.ReadBody(t.Context(), iotest.HalfReader(bytes.NewReader(sent)), -1)
		must.NoError(t, err)
		must.Eq(t, sent, got)
		must.ErrorIs(t, <-ended, io.ErrClosedPipe)
		ordinary.Close()
		held, _, evicted := account.Counts()
		must.Zero(t, held)
		must.Positive(t, evicted)
	})
}

func TestBodyBeyondTheAccountFindsNoMemory(t *testing.T) {
	account := NewAccount(1 << 10)
	holder := account.NewHolder(func() {})
	_, err := holder.ReadBody(t.Context(), bytes.NewReader(make([]byte, 4<<10)), 4<<10)
	must.ErrorIs(t, err, ErrNoMemory)
	holder.Close()
	must.ErrorIs(t, holder.Take(t.Context(), 1), ErrNoMemory)
	held, refused, _ := account.Counts()
	must.Zero(t, held)
	must.Positive(t, refused)
}

// listener hands out connections whose other ends a test holds.
type listener struct {
	net.Listener
	clients []net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	client, server := net.Pipe()
	l.clients = append(l.clients, client)
	return server, nil
}

// accept returns the next connection of a listener that passes a gate.
func accept(t *testing.T, from net.Listener) *Conn {
	t.Helper()
	connection, err := from.Accept()
	must.NoError(t, err)
	return connection.(*Conn)
}

func TestSilentConnectionIsClosedForANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := NewAccount(1 << 20)
		gate := NewGate(2, account, log.New(io.Discard))
		inner := &listener{}
		wrapped := gate.Wrap(inner)
		working, silent := accept(t, wrapped), accept(t, wrapped)
		held := account.Begin(Context(context.Background(), working), nil)
		must.NoError(t, held.Take(t.Context(), 100))
		time.Sleep(time.Second)
		added := accept(t, wrapped)
		_, err := silent.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.ErrClosedPipe)
		open, closed := gate.Counts()
		must.Eq(t, []int64{2, 1}, []int64{open, closed})
		held.End()
		working.Close()
		added.Close()
		bytesHeld, _, _ := account.Counts()
		must.Zero(t, bytesHeld)
	})
}
