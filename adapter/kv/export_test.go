package kv

import (
	"encoding/json"
	"io"
	"time"
)

// SetCheckInterval sets the idle time after which a watch is verified.
func (c *Client) SetCheckInterval(interval time.Duration) { c.checkInterval = interval }

// DecodeResponse exports decodeResponse.
func DecodeResponse(body io.Reader, into any) error { return decodeResponse(body, into) }

// DecodeWatch decodes the messages of a watch until it ends.
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
