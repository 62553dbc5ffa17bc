package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"agateswitch/port"

	"github.com/juju/errors"
)

const (
	// defaultCheckInterval is how long a watch may be idle before it is checked.
	defaultCheckInterval = 5 * time.Second
	// recheckParts is the part of the interval after which a failed check is repeated.
	recheckParts = 5
	// missedChecks is how many checks in a row may find a change that the watch has not
	// brought: the first may have overtaken it.
	missedChecks = 2
)

var errSilentWatch = errors.New("the watch did not bring a change that a read found")

// Watch implements port.Store. A watch that has gone silent ends with an error: an idle
// one is compared with a read every few seconds. The comparison sees changed keys, and not
// deleted ones.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) <-chan port.WatchEvent {
	events := make(chan port.WatchEvent)
	go func() {
		defer close(events)
		err := c.watch(ctx, prefix, after, events)
		select {
		case events <- port.WatchEvent{Err: err}:
		case <-ctx.Done():
		}
	}()
	return events
}

// watchState is shared by the reader of a watch and its check.
type watchState struct {
	// revision is the last that the watch has brought.
	revision atomic.Int64
	// messages counts what the watch has brought.
	messages atomic.Int64
}

func (c *Client) watch(ctx context.Context, prefix string, after int64, events chan<- port.WatchEvent) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	state := &watchState{}
	state.revision.Store(after)
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		if err := c.check(ctx, prefix, state); err != nil {
			cancel(err)
		}
	}()
	err := c.stream(ctx, prefix, after, state, events)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	<-checked
	return unavailable(PathWatch, err)
}

// check compares the watch with the service until ctx ends.
func (c *Client) check(ctx context.Context, prefix string, state *watchState) error {
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
			// The service is not reachable by a fresh connection either: the watch may live on.
		case !behind || state.messages.Load() != seen:
			missed = 0
		default:
			missed++
			timer.Reset(c.checkInterval / recheckParts)
		}
		if missed >= missedChecks {
			return errSilentWatch
		}
	}
}

// isBehind tells whether a key under the prefix has changed since the revision.
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

func (c *Client) stream(ctx context.Context, prefix string, after int64, state *watchState, events chan<- port.WatchEvent) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The response's header has the time of a call; the stream has no limit.
	opening := time.AfterFunc(c.timeout, func() {
		cancel()
		c.transport.CloseIdleConnections()
	})
	answer, err := c.openWatch(ctx, prefix, after)
	opening.Stop()
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
			// What has come counts, however long its receiver takes.
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

// decodeWatch reads one message of a watch. The end of the watch is an error.
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
