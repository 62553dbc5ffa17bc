// Package evidence describes to operators what a router believes, and what it has that from.
package evidence

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of thing about which routers learn together.
type Kind string

// Kinds of subjects.
const (
	Version   Kind = "version"
	Part      Kind = "prompt part"
	Request   Kind = "request"
	RateLimit Kind = "rate limit"
)

// Belief is what a router believes of a subject, from the observations of all routers that it knows of.
type Belief struct {
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"`
	// State is what follows for requests, such as "canary", "rolled back", "suspect", "held" or "2.9 per second".
	State string `json:"state"`
	// Observations are the answers of a version, the ends of engines or the answers that state a limit, and Against those that speak
	// against the subject.
	Observations int `json:"observations"`
	Against      int `json:"against"`
	// Observers is how many processes of routers have reported; zero if that is not known.
	Observers int `json:"observers,omitempty"`
	// AgeMs is the time since the latest observation.
	AgeMs int64 `json:"age_ms"`
	// Why names the observations or the test.
	Why string `json:"why,omitempty"`
}

// Age returns AgeMs as a duration.
func (b Belief) Age() time.Duration { return time.Duration(b.AgeMs) * time.Millisecond }

// Sort sorts beliefs by kind and subject.
func Sort(beliefs []Belief) {
	slices.SortFunc(beliefs, func(a, b Belief) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Subject, b.Subject))
	})
}
