package store

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"agateswitch/adapter/kv"

	"github.com/shoenig/test/must"
)

// A change that was made after the connections had been silenced used to be sent on them now and then.
func TestSilencedWatchSendsNothing(t *testing.T) {
	s := New()
	s.state.commit(kv.TxnRequest{Success: []kv.RequestOp{{RequestPut: &kv.PutRequest{Key: []byte("k"), Value: []byte("v")}}}})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	silenced := make(chan struct{})
	close(silenced)
	response := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, "POST", kv.PathWatch, nil)
	s.streamEvents(response, request, kv.WatchCreateRequest{Key: []byte("k"), StartRevision: 1}, nil, silenced)
	must.Eq(t, "", response.Body.String())
}
