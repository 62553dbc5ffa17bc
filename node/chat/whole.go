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
	// maxWholeAnswer is the largest answer without streaming, in bytes.
	maxWholeAnswer = 8 << 20
	// wholePerToken is the time that a complete answer may take for each expected token.
	wholePerToken = 200 * time.Millisecond
	// maxWholeTokens is the most tokens that a complete answer is waited for.
	maxWholeTokens = 1 << 16
)

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status      int
	contentType string
	body        []byte
}

// isOverload tells whether another engine may give a better answer.
func (a *wholeAnswer) isOverload() bool {
	return a.status >= http.StatusInternalServerError || a.status == http.StatusTooManyRequests
}

func (a *wholeAnswer) write(sink Sink) { sink.Whole(a.status, a.contentType, a.body) }

// readWhole reads an answer to its end, or tells why there is none.
func readWhole(answer port.UpstreamAnswer) (*wholeAnswer, exchange.Fault) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeAnswer+1))
	if err != nil {
		return nil, exchange.FaultTruncated
	}
	if len(body) > maxWholeAnswer {
		return nil, exchange.FaultTooLarge
	}
	return &wholeAnswer{status: answer.Status, contentType: answer.Header.Get("Content-Type"), body: body}, ""
}

// reading is what one connection brought for a complete answer.
type reading struct {
	answer *wholeAnswer
	fault  exchange.Fault
	ran    fleet.Ran
}

// whole waits for a complete answer. Its connection shows no progress before the end, so
// that a silent one cannot be told from a busy engine: fresh connections wait beside it,
// at growing intervals, and the first answer counts.
type whole struct {
	service *Service
	call    Call
	grant   fleet.Grant
	// readings has room for every connection, so that none is held up when the first
	// answer has ended the wait.
	readings    chan reading
	resumptions exchange.Resumptions
	// fetches counts the fresh connections.
	fetches int
	open    int
	sent    bool
	// retry is allowed when the wait was given up for another engine.
	retry admission.RetryDecision
}

func (s *Service) runWhole(ctx context.Context, call Call, grant fleet.Grant, first open, sink Sink) result {
	started := time.Now()
	w := &whole{
		service: s, call: call, grant: grant,
		readings: make(chan reading, exchange.MaxResumptions+1),
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	answer, failure := w.wait(ctx, first)
	ended := result{failure: failure, firstToken: time.Since(started), resumed: w.fetches, retry: w.retry}
	if failure != nil {
		return ended
	}
	if answer.isOverload() {
		ended.rejection = answer
		ended.failure = &exchange.Failure{Fault: exchange.FaultRejected, Sent: true}
		return ended
	}
	answer.write(sink)
	return ended
}

// limit returns how long the complete answer may take.
func (w *whole) limit() time.Duration {
	tokens := min(w.call.Request.Decode, maxWholeTokens)
	return exchange.NewLimits(w.call.Silence).Stall + time.Duration(tokens)*wholePerToken
}

func (w *whole) wait(ctx context.Context, first open) (*wholeAnswer, *exchange.Failure) {
	interval := w.call.Silence
	silence := time.NewTimer(interval)
	defer silence.Stop()
	end := time.NewTimer(w.limit())
	defer end.Stop()
	w.connect(ctx, first)
	for {
		select {
		case got := <-w.readings:
			w.open--
			w.sent = w.sent || got.ran != fleet.NotRun
			if got.answer != nil {
				return got.answer, nil
			}
			failure := &exchange.Failure{Fault: got.fault, Sent: w.sent}
			if w.open == 0 && !w.replace(ctx, *failure) {
				return nil, w.cancelled(ctx, failure)
			}
			if w.open > 0 && w.isAbandoned(*failure) {
				return nil, failure
			}
		case <-silence.C:
			w.fetch(ctx, exchange.FaultSilent)
			interval *= 2
			silence.Reset(interval)
		case <-end.C:
			// The first connection may still be unanswered, so the request may have run.
			return nil, &exchange.Failure{Fault: exchange.FaultStalled, Sent: true}
		case <-ctx.Done():
			return nil, &exchange.Failure{Fault: exchange.FaultCancelled, Sent: true}
		}
	}
}

func (w *whole) cancelled(ctx context.Context, failure *exchange.Failure) *exchange.Failure {
	if ctx.Err() != nil {
		failure.Fault = exchange.FaultCancelled
	}
	return failure
}

// isAbandoned decides, when the engine says over a working connection that it does not
// know the request, whether the silent connection is left for another engine. The retry
// budget bounds what this costs with engines that cannot be asked for a complete answer.
func (w *whole) isAbandoned(failure exchange.Failure) bool {
	if failure.Fault == exchange.FaultRequestUnknown {
		w.retry = w.service.decideRetry(w.call, failure)
	}
	return w.retry.Allowed
}

// replace opens a new connection after the last one failed.
func (w *whole) replace(ctx context.Context, failure exchange.Failure) bool {
	if !failure.IsResumable() {
		return false
	}
	pause, allowed := w.resumptions.Next(false)
	if !allowed || !sleep(ctx, pause) {
		return false
	}
	w.fetch(ctx, failure.Fault)
	return true
}

func (w *whole) fetch(ctx context.Context, fault exchange.Fault) {
	w.fetches++
	w.service.metrics.resumption(fault)
	w.service.telemetry.Log.Info("waiting over a new connection", "request", w.call.Request.ID,
		"upstream", w.grant.Upstream.ID, "fault", fault)
	w.connect(ctx, func(ctx context.Context) (port.UpstreamAnswer, *port.UpstreamError) {
		answer, failure := w.service.upstreams.Fetch(ctx, w.grant.Upstream, w.call.Request.ID)
		if failure == nil && answer.Status != http.StatusOK {
			answer.Body.Close()
			return answer, &port.UpstreamError{Ran: fleet.RanUnknown, Fault: exchange.FaultRequestUnknown}
		}
		return answer, failure
	})
}

// connect reads an answer over a connection in the background, until ctx ends.
func (w *whole) connect(ctx context.Context, open open) {
	w.open++
	go func() { w.readings <- read(ctx, open) }()
}

func read(ctx context.Context, open open) reading {
	answer, failure := open(ctx)
	if failure != nil {
		return reading{fault: failure.Fault, ran: failure.Ran}
	}
	defer answer.Body.Close()
	got, fault := readWhole(answer)
	return reading{answer: got, fault: fault, ran: fleet.RanUnknown}
}
