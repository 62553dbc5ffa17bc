package exchange

import "strconv"

// Verdict tells what to do with an event of a stream.
type Verdict string

// Verdicts on events.
const (
	// Deliver passes the event on.
	Deliver Verdict = "deliver"
	// Duplicate drops an event that was delivered before.
	Duplicate Verdict = "duplicate"
	// Gap refuses an event because the one before it is missing.
	Gap Verdict = "gap"
	// Malformed refuses an event whose id is not a sequence number.
	Malformed Verdict = "malformed"
	// Complete passes the stream's end on: the stream is whole.
	Complete Verdict = "complete"
)

// Stream decides which events go on to the caller. An engine numbers its events from 1,
// on every connection in the same way. Events without an id are delivered too, but a
// stream that has them cannot be resumed, because nothing tells them apart.
type Stream struct {
	last       int64
	delivered  int64
	unnumbered bool
}

// NewStream makes the state of a stream whose events up to last have been delivered.
func NewStream(last int64) *Stream {
	return &Stream{last: last}
}

// ParseEventID reads an event id. Only decimal numbers from 1 without leading zeros are ids.
func ParseEventID(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 || strconv.FormatInt(number, 10) != text {
		return 0, false
	}
	return number, true
}

// Judge decides on one event. id is empty when the event has none; done is true for the
// event that ends the stream.
func (s *Stream) Judge(id string, done bool) Verdict {
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

// Delivered returns how many events were delivered by this router.
func (s *Stream) Delivered() int64 { return s.delivered }

// IsResumable tells whether the rest can be had by an event id.
func (s *Stream) IsResumable() bool { return !s.unnumbered }
