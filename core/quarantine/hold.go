package quarantine

import (
	"encoding/json"
	"time"

	"agateswitch/core/fleet"
)

// Limits of the list of held parts.
const (
	// HoldDuration is how long a part is held back.
	HoldDuration = 24 * time.Hour
	// MaxHolds bounds the parts that are held back at a time.
	MaxHolds = 64
)

// Hold is the durable order to hold a part back. It is kept in the platform's store.
type Hold struct {
	Part Part `json:"part"`
	// Since is when the part was held back, by the clock of the router that did so.
	Since time.Time `json:"since"`
	// Engines are the engines that ended, first to last, and Router is the router that held the part back.
	Engines []fleet.UpstreamID `json:"engines"`
	Router  fleet.HostID       `json:"router"`
	// Origin is where the first request with the part came from.
	Origin
	// Released is true once an operator, or an answer to a request with the part, has released it. The entry stays
	// until it expires, so that a release is not taken for a loss.
	Released bool `json:"released,omitempty"`
	// Reason says why the part was released.
	Reason string `json:"reason,omitempty"`
}

// DecodeHold decodes an entry's value.
func DecodeHold(value []byte) (Hold, error) {
	var h Hold
	err := json.Unmarshal(value, &h)
	return h, err
}

// InForce reports whether the part is held back.
func (h Hold) InForce(now time.Time) bool { return !h.Released && !h.Expired(now) }

// Expired reports whether the entry is no longer needed.
func (h Hold) Expired(now time.Time) bool { return now.Sub(h.Since) > HoldDuration }
