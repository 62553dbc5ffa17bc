package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"agateswitch/port"

	"github.com/juju/errors"
)

// Watch implements port.Store.
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

func (c *Client) watch(ctx context.Context, prefix string, after int64, events chan<- port.WatchEvent) error {
	request := WatchRequest{CreateRequest: &WatchCreateRequest{
		Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: after + 1,
	}}
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+PathWatch, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	answer, err := c.watcher.Do(httpRequest)
	if err != nil {
		return unavailable(PathWatch, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return unavailable(PathWatch, errors.Errorf("status %d", answer.StatusCode))
	}
	decoder := json.NewDecoder(answer.Body)
	for {
		var envelope WatchEnvelope
		if err := decoder.Decode(&envelope); err != nil {
			return unavailable(PathWatch, err)
		}
		for _, event := range envelope.Result.Events {
			change := port.WatchEvent{Entry: entry(event.KV), Deleted: event.Type == "DELETE"}
			select {
			case events <- change:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}
