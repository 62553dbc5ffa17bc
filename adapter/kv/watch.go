package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

const (
	// defaultCheckInterval is the idle time after which a watch is verified by a read.
	defaultCheckInterval = 5 * time.Second
	// recheckDivisor divides the check interval after a check that found an undelivered change.
	recheckDivisor = 5
	// maxMissedChecks is the number of consecutive checks with an undelivered change that ends a
	// watch. One is not enough, since a read may overtake the watch's event.
	maxMissedChecks = 2
)

var errStalledWatch = errors.New("watch is stalled: a read found a change that the watch did not deliver")

// Watch implements port.Store. A stalled watch ends with an error: an idle watch is compared with
// a read at every check interval. The comparison detects changed keys, but not deleted ones.
func (c *Client) Watch(ctx context.Context, prefix string, after revision.Revision, _ time.Duration) <-chan port.WatchEvent {
	events := make(chan port.WatchEvent)
	go func() {
		defer close(events)
		err := c.watch(ctx, prefix, after.Number, events)
		select {
		case events <- port.WatchEvent{Err: err}:
		case <-ctx.Done():
		}
	}()
	return events
}

// watchState is shared by the reader of a watch and its monitor.
type watchState struct {
	// revision is the latest revision that the watch has delivered.
	revision atomic.Int64
	// messages is the number of messages that the watch has delivered.
	messages atomic.Int64
}

// watch runs a watch and its monitor until either ends, and returns the reason.
func (c *Client) watch(ctx context.Context, prefix string, after int64, events chan<- port.WatchEvent) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	state := &watchState{}
	state.revision.Store(after)
	monitorDone := make(chan struct{})
	go func() {
		defer close(monitorDone)
		if err := c.monitor(ctx, prefix, state); err != nil {
			cancel(err)
		}
	}()
	err := c.stream(ctx, prefix, after, state, events)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	<-monitorDone
	return unavailable(PathWatch, err)
}

// monitor compares an idle watch with reads until ctx ends. It returns errStalledWatch when the
// watch misses changes.
func (c *Client) monitor(ctx context.Context, prefix string, state *watchState) error {
	timer := time.NewTimer(c.checkInterval)
	defer timer.Stop()
	seen, missed := state.messages.Load(), 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(c.checkInterval)
		if now := state.messages.Load(); now != seen {
			seen, missed = now, 0
			continue
		}
		behind, err := c.isBehind(ctx, prefix, state.revision.Load())
		switch {
		case err != nil:
			// The service is unreachable for reads as well, which says nothing about the watch.
		case !behind || state.messages.Load() != seen:
			missed = 0
		default:
			missed++
			timer.Reset(c.checkInterval / recheckDivisor)
		}
		if missed >= maxMissedChecks {
			return errStalledWatch
		}
	}
}

// isBehind reports whether a key under the prefix has changed since the revision.
func (c *Client) isBehind(ctx context.Context, prefix string, revision int64) (bool, error) {
	request := RangeRequest{
		Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), MinModRevision: revision + 1, KeysOnly: true,
	}
	var response RangeResponse
	if err := c.read(ctx, PathRange, request, &response); err != nil {
		return false, err
	}
	for _, kv := range response.KVs {
		if kv.ModRevision > revision {
			return true, nil
		}
	}
	return false, nil
}

// stream opens a watch and sends its events until it ends. It always returns an error.
func (c *Client) stream(ctx context.Context, prefix string, after int64, state *watchState, events chan<- port.WatchEvent) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The response header has to arrive within the call timeout; the stream has no time limit.
	headerTimer := time.AfterFunc(c.timeout, func() {
		cancel()
		c.transport.CloseIdleConnections()
	})
	answer, err := c.openWatch(ctx, prefix, after)
	headerTimer.Stop()
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	limited := &messageReader{from: answer.Body}
	decoder := json.NewDecoder(limited)
	for {
		limited.Next()
		message, err := decodeWatch(decoder)
		if err != nil {
			return err
		}
		for _, event := range message.Events {
			// The event counts as delivered even while its receiver is busy.
			state.revision.Store(max(state.revision.Load(), event.KV.ModRevision))
			change := port.WatchEvent{Entry: entry(event.KV), Deleted: event.Type == "DELETE"}
			select {
			case events <- change:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		state.messages.Add(1)
	}
}

// openWatch starts a watch after a revision and returns the response that streams its messages.
func (c *Client) openWatch(ctx context.Context, prefix string, after int64) (*http.Response, error) {
	body, err := json.Marshal(WatchRequest{CreateRequest: &WatchCreateRequest{
		Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: after + 1, ProgressNotify: true,
	}})
	if err != nil {
		return nil, errors.Trace(err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+PathWatch, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	answer, err := (&http.Client{Transport: c.transport}).Do(httpRequest)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if answer.StatusCode != http.StatusOK {
		answer.Body.Close()
		return nil, errors.Errorf("status %d", answer.StatusCode)
	}
	return answer, nil
}

// decodeWatch reads one message of a watch. It returns an error when the service ends the watch.
func decodeWatch(decoder *json.Decoder) (WatchResponse, error) {
	var envelope WatchEnvelope
	if err := decoder.Decode(&envelope); err != nil {
		return WatchResponse{}, errors.Annotate(err, "decoding a watch")
	}
	if envelope.Error != nil {
		return WatchResponse{}, errors.Errorf("the service ended the watch: %s", envelope.Error.Message)
	}
	if envelope.Result.Canceled {
		return WatchResponse{}, errors.Errorf("the service ended the watch: %s (compacted up to %d)",
			envelope.Result.CancelReason, envelope.Result.CompactRevision)
	}
	return envelope.Result, nil
}
