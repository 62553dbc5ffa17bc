package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/outlier"
	"agateswitch/core/routing"
	"agateswitch/port"

	"github.com/juju/errors"
)

// answer is an upstream's whole answer.
type answer struct {
	chosen *choice
	status int
	header http.Header
	body   []byte
}

// maxAnswerBytes bounds an answer that is held whole before it is passed on.
const maxAnswerBytes = 16 << 20

// attemptPlain brings back an answer whole: it is passed on only once its end is known.
func (x *exchange) attemptPlain(ctx context.Context, chosen *choice) attemptResult {
	attempt, cancel := x.plainContext(ctx)
	defer cancel()
	head, failure := x.send(attempt, chosen, "")
	if failure != nil {
		return x.failed(ctx, chosen, failure)
	}
	defer head.Body.Close()
	x.sends++
	told := x.gateway.Engines.Read(head.Status, head.Header)
	chosen.first = time.Since(chosen.sentAt)
	body, err := readWhole(head.Body)
	if told.NotRun {
		return x.notRun(chosen, head.Status, told)
	}
	if err != nil || !told.Signed {
		chosen.engine.observe(time.Now(), outlier.Failure)
		return attemptResult{sent: true, ran: fleet.RanUnknown, cause: incomplete(err)}
	}
	whole := &answer{chosen: chosen, status: head.Status, header: head.Header, body: body}
	if head.Status >= http.StatusInternalServerError {
		chosen.engine.observe(time.Now(), outlier.Failure)
		x.failure = whole
		return attemptResult{sent: true, ran: fleet.DidRun, cause: "the upstream answered " + strconv.Itoa(head.Status)}
	}
	chosen.engine.observe(time.Now(), outlier.Success)
	x.deliver(whole)
	return attemptResult{delivered: true}
}

const errTooLarge = errors.ConstError("it is larger than a router holds")

// readWhole reads an answer to its end. It fails when the end cannot be told, or is further
// than maxAnswerBytes away.
func readWhole(from io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		return nil, errTooLarge
	}
	return body, err
}

// plainContext bounds an attempt after which another upstream can be tried.
func (x *exchange) plainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind != routing.Idempotent || x.sends+1 >= x.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, min(2*x.route.Target, time.Until(x.deadline)/2))
}

func incomplete(err error) string {
	if err != nil {
		return "the answer is not complete: " + err.Error()
	}
	return "the answer is not signed by an upstream"
}

// notRun judges an answer that says that the upstream has not run the request.
func (x *exchange) notRun(chosen *choice, status int, told port.EngineAnswer) attemptResult {
	if told.Misdirected {
		// Another upstream has the address; the one that was meant did not get the request.
		x.sends--
		chosen.engine.observe(time.Now(), outlier.Unreachable)
		return attemptResult{ran: fleet.NotRun, cause: "another upstream has the address"}
	}
	chosen.engine.observe(time.Now(), outlier.Failure)
	return attemptResult{sent: true, ran: fleet.NotRun, cause: "the upstream refused with " + strconv.Itoa(status)}
}

// perConnection are headers that concern one connection (RFC 9110, section 7.6.1).
var perConnection = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Trailer", "Upgrade"}

// copyHeader writes an upstream's header to the caller's answer.
func (x *exchange) copyHeader(header http.Header) {
	into := x.writer.Header()
	for name, values := range header {
		into[name] = values
	}
	for _, name := range perConnection {
		into.Del(name)
	}
	if x.gateway.leaving.Load() {
		into.Set("Connection", "close")
	}
}

// deliver passes a whole answer on.
func (x *exchange) deliver(whole *answer) {
	first := time.Since(x.began)
	x.copyHeader(whole.header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	x.writer.WriteHeader(whole.status)
	if _, err := x.writer.Write(whole.body); err != nil {
		x.logCallerLeft(err)
	}
	x.logAnswer(whole.chosen, whole.status, first, 0)
}
