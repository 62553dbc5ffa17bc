package kv

import (
	"encoding/json"
	"io"
	"time"
)

// SetCheckInterval shortens the checks of idle watches for tests.
func (c *Client) SetCheckInterval(interval time.Duration) { c.checkInterval = interval }

// DecodeResponse and DecodeWatch open the decoders to fuzz targets.
func DecodeResponse(body io.Reader, into any) error { return decodeResponse(body, into) }

// DecodeWatch reads messages until the watch ends.
func DecodeWatch(body io.Reader) error {
	limited := &messageReader{from: body}
	decoder := json.NewDecoder(limited)
	for {
		limited.Next()
		if _, err := decodeWatch(decoder); err != nil {
			return err
		}
	}
}
