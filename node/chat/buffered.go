package chat

import (
	"context"
	"io"
	"net/http"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is not streamed.
	maxAnswerBytes = 8 << 20
	// timePerToken is the time that a buffered answer may take for each expected token.
	timePerToken = 200 * time.Millisecond
	// maxTimedTokens is the maximum number of expected tokens that extend the time limit of a
	// buffered answer.
	maxTimedTokens = 1 << 16
)

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status      int
	contentType string
	body        []byte
}

// isRetryable reports whether another engine may return a better answer.
func (a *bufferedAnswer) isRetryable() bool {
	return a.status >= http.StatusInternalServerError || a.status == http.StatusTooManyRequests
}

func (a *bufferedAnswer) write(sink Sink) { sink.Buffered(a.status, a.contentType, a.body) }

// readAnswer reads an answer completely, or returns the fault that prevents it.
func readAnswer(answer port.UpstreamAnswer) (*bufferedAnswer, exchange.Fault) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, exchange.FaultTruncated
	}
	if len(body) > maxAnswerBytes {
		return nil, exchange.FaultTooLarge
	}
	return &bufferedAnswer{status: answer.Status, contentType: answer.Header.Get("Content-Type"), body: body}, ""
}

// readResult is the result of reading a buffered answer over one connection.
type readResult struct {
	answer *bufferedAnswer
	fault  exchange.Fault
	ran    fleet.Ran
}

// bufferedExchange waits for an answer that is not streamed. Its connection shows no progress until
// the answer arrives, so that a stalled connection cannot be distinguished from a busy engine.
// Therefore additional connections are opened at growing intervals, and the first answer is used.
type bufferedExchange struct {
	service *Service
	call    Call
	grant   fleet.Grant
	// results has capacity for every connection, so that no sender blocks after the first answer
	// has ended the wait.
	results     chan readResult
	resumptions exchange.Resumptions
	// fetches counts the additional connections.
	fetches int
	// connections counts the connections that have not returned a result yet.
	connections int
	// sent is true once the engine may have received the request.
	sent bool
	// retry is allowed if the wait was abandoned in favour of another engine.
	retry admission.RetryDecision
}

func (s *Service) runBuffered(ctx context.Context, call Call, grant fleet.Grant, first opener, sink Sink) result {
	started := time.Now()
	b := &bufferedExchange{
		service: s, call: call, grant: grant,
		results: make(chan readResult, exchange.MaxResumptions+1),
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	answer, failure := b.wait(ctx, first)
	ended := result{failure: failure, firstToken: time.Since(started), resumed: b.fetches, retry: b.retry}
	if failure != nil {
		return ended
	}
	if answer.isRetryable() {
		ended.rejection = answer
		ended.failure = &exchange.Failure{Fault: exchange.FaultRejected, Sent: true}
		return ended
	}
	answer.write(sink)
	return ended
}

// timeLimit returns how long the answer may take. It grows with the expected number of tokens.
func (b *bufferedExchange) timeLimit() time.Duration {
	tokens := min(b.call.Request.Decode, maxTimedTokens)
	return exchange.NewLimits(b.call.Silence).Stall + time.Duration(tokens)*timePerToken
}

// wait returns the first complete answer of any connection.
func (b *bufferedExchange) wait(ctx context.Context, first opener) (*bufferedAnswer, *exchange.Failure) {
	interval := b.call.Silence
	silence := time.NewTimer(interval)
	defer silence.Stop()
	end := time.NewTimer(b.timeLimit())
	defer end.Stop()
	b.connect(ctx, first)
	for {
		select {
		case got := <-b.results:
			b.connections--
			b.sent = b.sent || got.ran != fleet.NotRun
			if got.answer != nil {
				return got.answer, nil
			}
			failure := &exchange.Failure{Fault: got.fault, Sent: b.sent}
			if b.connections == 0 && !b.reconnect(ctx, *failure) {
				return nil, b.attributeToCaller(ctx, failure)
			}
			if b.connections > 0 && b.mayRetryElsewhere(*failure) {
				return nil, failure
			}
		case <-silence.C:
			b.fetch(ctx, exchange.FaultSilent)
			interval *= 2
			silence.Reset(interval)
		case <-end.C:
			// The first connection may not have returned a result yet, so the request may have run.
			return nil, &exchange.Failure{Fault: exchange.FaultStalled, Sent: true}
		case <-ctx.Done():
			return nil, &exchange.Failure{Fault: exchange.FaultCancelled, Sent: true}
		}
	}
}

// attributeToCaller replaces the fault of a failure if the caller has disconnected.
func (b *bufferedExchange) attributeToCaller(ctx context.Context, failure *exchange.Failure) *exchange.Failure {
	if ctx.Err() != nil {
		failure.Fault = exchange.FaultCancelled
	}
	return failure
}

// mayRetryElsewhere reports whether the request may be sent to another engine while a connection still
// waits. This is allowed if the engine responded on another connection that it does not know the
// request. Some engines cannot return an answer again and always respond so; the retry budget limits
// the duplicate work on these.
func (b *bufferedExchange) mayRetryElsewhere(failure exchange.Failure) bool {
	if failure.Fault == exchange.FaultRequestUnknown {
		b.retry = b.service.decideRetry(b.call, failure)
	}
	return b.retry.Allowed
}

// reconnect opens a new connection after the last open one failed, and reports whether it did.
func (b *bufferedExchange) reconnect(ctx context.Context, failure exchange.Failure) bool {
	if !failure.IsResumable() {
		return false
	}
	pause, allowed := b.resumptions.Next(false)
	if !allowed || !sleep(ctx, pause) {
		return false
	}
	b.fetch(ctx, failure.Fault)
	return true
}

// fetch waits for the answer over an additional connection.
func (b *bufferedExchange) fetch(ctx context.Context, fault exchange.Fault) {
	b.fetches++
	b.service.metrics.countResumption(fault)
	b.service.telemetry.Log.Info("waiting for a buffered answer over an additional connection",
		"request", b.call.Request.ID, "upstream", b.grant.Upstream.ID, "fault", fault)
	b.connect(ctx, func(ctx context.Context) (port.UpstreamAnswer, *port.UpstreamError) {
		answer, failure := b.service.upstreams.Fetch(ctx, b.grant.Upstream, b.call.Request.ID)
		if failure == nil && answer.Status != http.StatusOK {
			answer.Body.Close()
			return answer, &port.UpstreamError{Ran: fleet.RanUnknown, Fault: exchange.FaultRequestUnknown}
		}
		return answer, failure
	})
}

// connect opens a connection in the background and reads its answer. The read ends with ctx.
func (b *bufferedExchange) connect(ctx context.Context, open opener) {
	b.connections++
	go func() { b.results <- readFrom(ctx, open) }()
}

func readFrom(ctx context.Context, open opener) readResult {
	answer, failure := open(ctx)
	if failure != nil {
		return readResult{fault: failure.Fault, ran: failure.Ran}
	}
	defer answer.Body.Close()
	got, fault := readAnswer(answer)
	return readResult{answer: got, fault: fault, ran: fleet.RanUnknown}
}
