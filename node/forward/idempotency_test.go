package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// fakePorts implements the service's ports and the Sink for one call.
type fakePorts struct {
	port.Placer
	port.Versions
	upstream fleet.Upstream
	sendBy   fleet.Deadline

	finished chan fleet.ClaimAnswer
	status   int
	body     string
	refusal  *fleet.Refusal
}

func (p *fakePorts) Acquire(context.Context, fleet.Request) (fleet.Grant, *fleet.Refusal) {
	return fleet.Grant{Upstream: p.upstream}, nil
}
func (p *fakePorts) Release(fleet.Grant, fleet.Completion) {}
func (p *fakePorts) Observe(fleet.Evidence)                {}

func (p *fakePorts) Begin(context.Context, fleet.Claim) fleet.ClaimResult {
	return fleet.ClaimResult{State: fleet.ClaimGranted, SendBy: p.sendBy, Revision: 7}
}

func (p *fakePorts) Finish(_ context.Context, _ fleet.Claim, answer fleet.ClaimAnswer) error {
	p.finished <- answer
	return nil
}

func (p *fakePorts) Answer(status int, _ http.Header, body io.Reader) error {
	content, err := io.ReadAll(body)
	p.status, p.body = status, string(content)
	return err
}
func (p *fakePorts) Refuse(refusal *fleet.Refusal) { p.refusal = refusal }

// runNonIdempotent makes one non-idempotent call, and returns what the caller received and the record.
func runNonIdempotent(t *testing.T, handler http.HandlerFunc, sendWithin time.Duration) (*fakePorts, fleet.ClaimAnswer) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	p := &fakePorts{
		upstream: fleet.Upstream{ID: "s1", Address: strings.TrimPrefix(server.URL, "http://")},
		sendBy:   fleet.DeadlineAt(time.Now().Add(sendWithin)), finished: make(chan fleet.ClaimAnswer, 1),
	}
	s := New(p, upstreamhttp.New(), p, p, port.Telemetry{Log: log.New(io.Discard)})
	// An earlier call leaves a connection in the pool.
	s.Run(t.Context(), Call{Method: http.MethodGet, Path: "/warm", Request: fleet.Request{ID: "r0"}}, p)
	s.Run(t.Context(), Call{
		Method: http.MethodPost, Path: "/bookings", Request: fleet.Request{ID: "r1"},
		Pool: configuration.Pool{Name: "rounds-app"}, IdempotencyKey: "key", BufferedBody: []byte("visit"), ContentLength: 5,
		Header: http.Header{"Idempotency-Key": {"key"}},
	}, p)
	return p, <-p.finished
}

func echoID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(port.HeaderRequestID, r.Header.Get(port.HeaderRequestID))
}

// A non-idempotent call is sent once even if its connection fails: http.Transport would otherwise
// repeat a request with an Idempotency-Key header.
func TestConnectionLostAfterSendingIsNotRepeated(t *testing.T) {
	var runs atomic.Int32
	p, recorded := runNonIdempotent(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		if r.Method == http.MethodPost {
			io.Copy(io.Discard, r.Body)
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
	}, time.Minute)
	must.Eq(t, 1, runs.Load())
	must.True(t, recorded.Unknown)
	must.Eq(t, fleet.RanUnknown, p.refusal.Ran)
}

// A process that was paused until its permission to send expired does not send the call, whether the
// pause came before the connection was open or after.
func TestExpiredPermissionPreventsSend(t *testing.T) {
	var runs atomic.Int32
	count := func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		if r.Method == http.MethodPost {
			runs.Add(1)
		}
	}
	p, recorded := runNonIdempotent(t, count, -time.Millisecond)
	must.Zero(t, runs.Load())
	must.True(t, recorded.Unsent)
	must.Eq(t, fleet.NotRun, p.refusal.Ran)

	body := &gatedBody{content: nil, sendBy: fleet.DeadlineAt(time.Now().Add(-time.Millisecond))}
	_, err := body.Read(make([]byte, 1))
	must.ErrorIs(t, err, errSendExpired)
}

// The caller receives a large answer completely, and only its status is recorded.
func TestLargeAnswerIsRecordedByStatus(t *testing.T) {
	large := strings.Repeat("x", 3*fleet.MaxRecordedBodyBytes)
	p, recorded := runNonIdempotent(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, large)
	}, time.Minute)
	must.Eq(t, large, p.body)
	must.Eq(t, fleet.ClaimAnswer{Status: http.StatusCreated, ContentType: "text/plain; charset=utf-8", BodyOmitted: true}, recorded)
}
