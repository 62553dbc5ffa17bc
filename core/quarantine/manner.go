package quarantine

// Manner is how the end of an engine showed to a router. The zero value, as routers of earlier builds tell it, is an end in work.
type Manner string

// Manners of ends in work: NoAnswer means that the connection ended before an answer began, and BrokenAnswer that it ended within the answer.
const (
	NoAnswer     Manner = "no answer"
	BrokenAnswer Manner = "broken answer"
)

// Manners of ends that a router has seen without a request in work there. They may be planned, so that they put no hold in doubt, but a trial
// waits until they are over.
// An idle connection that was reset is no end: the next attempt shows whether the engine goes on.
const (
	// Refused means that the engine accepted no connection, Replaced that its entry names a later incarnation, and EntryGone that it
	// has no entry any more, though it had not said that it leaves.
	Refused   Manner = "connection refused"
	Replaced  Manner = "new incarnation"
	EntryGone Manner = "entry gone"
)

// IsInWork reports whether the router had a request in work on the engine.
func (m Manner) IsInWork() bool { return m != Refused && m != Replaced && m != EntryGone }
