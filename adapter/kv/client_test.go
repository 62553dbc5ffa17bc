package kv_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"agateswitch/adapter/kv"
	"agateswitch/core/revision"
	"agateswitch/port"
	"agateswitch/standin/store"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// Short times keep the tests fast; no result depends on them.
const (
	callTimeout   = 2 * time.Second
	checkInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T, handler http.Handler) *kv.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := kv.New(strings.TrimPrefix(server.URL, "http://"), callTimeout)
	client.SetCheckInterval(checkInterval)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

func put(key, value string) port.Transaction {
	return port.Transaction{Writes: []port.Write{{Key: key, Value: []byte(value)}}}
}

// When several idle connections stall at once, the first call that uses one of them succeeds over a
// new connection.
func TestStalledConnectionsCostOneAttempt(t *testing.T) {
	service := store.New()
	client := serve(t, service)
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { client.Get(t.Context(), "k") })
	}
	calls.Wait()
	_, err := client.Commit(t.Context(), put("k", "v"))
	must.NoError(t, err)
	service.SilenceConnections()
	entry, err := client.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, "v", string(entry.Value))
	_, err = client.Commit(t.Context(), put("k", "w"))
	must.NoError(t, err)
}

// An idle watch on a stalled connection is detected by a change that it does not deliver.
func TestStalledWatchEnds(t *testing.T) {
	service := store.New()
	client := serve(t, service)
	result, err := client.Commit(t.Context(), put("p/1", "a"))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events := client.Watch(ctx, "p/", revision.Revision{Number: result.Revision.Number - 1}, 0)
	must.Eq(t, "p/1", (<-events).Entry.Key)
	service.SilenceConnections()
	for range 2 {
		// The first commit may use a stalled connection.
		client.Commit(t.Context(), put("p/2", "b"))
	}
	end := <-events
	must.ErrorIs(t, end.Err, port.ErrUnavailable)
	_, open := <-events
	must.False(t, open)
}

// A watch that is merely idle survives its checks and delivers changes in order.
func TestIdleWatchKeepsOrder(t *testing.T) {
	service := store.New()
	client := serve(t, service)
	ctx, cancel := context.WithCancel(t.Context())
	events := client.Watch(ctx, "p/", revision.Revision{}, 0)
	for service.Calls().Reads < 3 {
		// Wait for three checks of the idle watch.
		client.Commit(ctx, put("other", "x"))
	}
	go func() {
		for i := range 50 {
			client.Commit(ctx, put("p/"+strconv.Itoa(i%7), strconv.Itoa(i)))
		}
	}()
	last := revision.Revision{}
	for i := range 50 {
		event := <-events
		must.NoError(t, event.Err)
		must.Eq(t, strconv.Itoa(i), string(event.Entry.Value))
		must.True(t, event.Entry.Revision.After(last))
		last = event.Entry.Revision
	}
	cancel()
	for range events {
	}
}

// A commit whose conditions do not hold returns the stored entries, and an absent key with revision 0.
func TestCommitReturnsConflictingEntries(t *testing.T) {
	client := serve(t, store.New())
	first, err := client.Commit(t.Context(), put("a", "1"))
	must.NoError(t, err)
	transaction := port.Transaction{
		Conditions:    []port.Condition{{Key: "a"}, {Key: "b"}},
		Writes:        []port.Write{{Key: "a", Value: []byte("2")}, {Key: "b", Value: []byte("2")}},
		ReadConflicts: true,
	}
	result, err := client.Commit(t.Context(), transaction)
	must.NoError(t, err)
	must.False(t, result.Applied)
	must.Eq(t, []port.Entry{{Key: "a", Value: []byte("1"), Revision: first.Revision}, {Key: "b"}}, result.Found)
	_, err = client.Commit(t.Context(), port.Transaction{Writes: []port.Write{{Key: "a", Delete: true, DeleteTo: "c"}}})
	must.NoError(t, err)
	_, err = client.List(t.Context(), "", func(entry port.Entry) { t.Errorf("the store still has %s", entry.Key) })
	must.NoError(t, err)
}

// A malformed or empty response is an error. Read as an empty message, it would stand for an absent
// key, a conflict or an expired lease.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for _, body := range []string{
		"", "{", "{}", "[]", `{"kvs":7}`, `{"kvs":[{"key":"!"}]}`, `{"kvs":[{"key":"b3RoZXI=","mod_revision":"1"}]}`,
		`{"succeeded":false,"responses":[{}]}`, strings.Repeat("[", 1<<16),
	} {
		client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
		_, err := client.Get(t.Context(), "k")
		if !strings.Contains(body, "responses") {
			must.ErrorIs(t, err, port.ErrUnavailable, must.Sprint(body))
		}
		_, err = client.Commit(t.Context(), port.Transaction{
			Conditions: []port.Condition{{Key: "k"}, {Key: "l"}}, ReadConflicts: true,
		})
		must.ErrorIs(t, err, port.ErrUnavailable, must.Sprint(body))
		if body == "" {
			// An empty response must not be read as an expired lease.
			_, err = client.KeepAlive(t.Context(), port.LeaseID{Number: 1})
			must.ErrorIs(t, err, port.ErrUnavailable)
		}
		for event := range client.Watch(t.Context(), "k", revision.Revision{}, 0) {
			must.ErrorIs(t, event.Err, port.ErrUnavailable, must.Sprint(body))
		}
	}
}

// endless is a JSON response that never ends.
type endless struct{ started bool }

func (e *endless) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'x'
	}
	if !e.started {
		e.started = true
		copy(buffer, `{"kvs":"`)
	}
	return len(buffer), nil
}

// A response or a watch message without an end is refused before it exhausts the memory.
func TestResponseSizeIsLimited(t *testing.T) {
	var response kv.RangeResponse
	must.Error(t, kv.DecodeResponse(&endless{}, &response))
	must.Error(t, kv.DecodeWatch(&endless{}))
}

func TestLargeValueIsRefusedBeforeSending(t *testing.T) {
	service := store.New()
	client := serve(t, service)
	_, err := client.Commit(t.Context(), put("k", strings.Repeat("x", port.MaxValueBytes+1)))
	must.Error(t, err)
	must.Zero(t, service.Calls().Writes)
}

// For any response, a transaction that was not applied has one entry per condition or is an error.
func FuzzDecodeResponse(f *testing.F) {
	f.Add([]byte(`{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"YQ==","mod_revision":"7"}]}`))
	f.Add([]byte(`{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_range":{}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var found kv.RangeResponse
		_ = kv.DecodeResponse(strings.NewReader(string(body)), &found)
		var response kv.TxnResponse
		if kv.DecodeResponse(strings.NewReader(string(body)), &response) != nil {
			return
		}
		transaction := port.Transaction{Conditions: []port.Condition{{Key: "a"}}, ReadConflicts: true}
		result, err := kv.TransactionResult(transaction, response)
		if err == nil && !result.Applied {
			must.Len(t, 1, result.Found)
		}
	})
}

// Any watch, whether malformed or ended by the service, ends with an error.
func FuzzDecodeWatch(f *testing.F) {
	f.Add([]byte(`{"result":{"created":true}}{"result":{"events":[{"kv":{"key":"YQ=="}}]}}`))
	f.Add([]byte(`{"error":{"message":"x"}}`))
	f.Add([]byte(`{"result":{"canceled":true,"compact_revision":"9"}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		must.Error(t, kv.DecodeWatch(strings.NewReader(string(body))))
	})
}
