package exchange

import "strconv"

// EventStatus classifies an event by its place in a stream.
type EventStatus string

// Statuses of events.
const (
	// Deliver means that the event is the next one, or has no id, and is delivered.
	Deliver EventStatus = "deliver"
	// Duplicate means that the event was delivered before and is dropped.
	Duplicate EventStatus = "duplicate"
	// Gap means that the event before this one is missing. This event is not delivered.
	Gap EventStatus = "gap"
	// Malformed means that the event's id is not a sequence number. The event is not delivered.
	Malformed EventStatus = "malformed"
	// Complete means that the event ends the stream and is delivered.
	Complete EventStatus = "complete"
)

// Stream decides which events are delivered to the caller. An engine numbers its events from 1,
// with the same numbers on every connection. Events without an id are delivered too, but a stream
// that contains them cannot be resumed, because duplicates cannot be detected.
type Stream struct {
	last       int64
	delivered  int64
	unnumbered bool
}

// NewStream returns the state of a stream whose events up to last have been delivered.
func NewStream(last int64) *Stream {
	return &Stream{last: last}
}

// ParseEventID parses an event id. An id is a decimal number of at least 1 without leading zeros.
func ParseEventID(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 || strconv.FormatInt(number, 10) != text {
		return 0, false
	}
	return number, true
}

// Accept classifies the next event and records it if it is delivered. id is empty if the event
// has none. done is true for the event that ends the stream.
func (s *Stream) Accept(id string, done bool) EventStatus {
	if done {
		return Complete
	}
	if id == "" {
		s.unnumbered = true
		s.delivered++
		return Deliver
	}
	number, valid := ParseEventID(id)
	switch {
	case !valid:
		return Malformed
	case number <= s.last:
		return Duplicate
	case number > s.last+1:
		return Gap
	}
	s.last = number
	s.delivered++
	return Deliver
}

// Last returns the id of the last event delivered; 0 means none.
func (s *Stream) Last() int64 { return s.last }

// Delivered returns how many events this router has delivered.
func (s *Stream) Delivered() int64 { return s.delivered }

// IsResumable reports whether the rest of the stream can be requested by an event id.
func (s *Stream) IsResumable() bool { return !s.unnumbered }
