package port

import (
	"context"
	"net"
	"net/http"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/routing"
)

// PromptPart is one part of a prompt. Requests that begin with the same parts share an engine's
// cache for these parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallerCall holds the properties of a caller's request apart from method, path and body.
type CallerCall struct {
	// ID is unique for each attempt of the caller.
	ID fleet.RequestID
	// Key is the caller's API key.
	Key string
	// Timeout is how long the caller waits. Zero means that it is not specified.
	Timeout time.Duration
	// Prompt lists the parts of a prompt, in order. It is empty for plain services.
	Prompt []PromptPart
	// ResumeAfter is the last event that the caller received of an earlier answer.
	ResumeAfter string
}

// CallerProtocol decodes callers' requests and writes refusals.
type CallerProtocol interface {
	// Read decodes the header of a request.
	Read(request *http.Request) CallerCall
	// Refuse answers a request with a refusal by the router.
	Refuse(w http.ResponseWriter, refusal *fleet.Refusal)
}

// EngineCall holds the properties of a call to an upstream apart from method, path and body.
type EngineCall struct {
	ID       fleet.RequestID
	Upstream fleet.UpstreamID
	Team     fleet.Team
	// TimeLeft is how much longer the router waits for the answer.
	TimeLeft time.Duration
	// Rank is the request's urgency; zero is the most urgent.
	Rank int
	// ResumeAfter requests only the events after this one. Empty means all events.
	ResumeAfter string
	// FetchFrom is the address of an engine from which the called engine may copy the cached
	// prompt. Empty means none.
	FetchFrom string
}

// EngineAnswer holds the properties in the header of an upstream's answer.
type EngineAnswer struct {
	// ID identifies the request that was answered.
	ID fleet.RequestID
	// NotRun is true when the upstream states that it has not run the request.
	NotRun bool
	// Misdirected is true when the address belongs to another upstream.
	Misdirected bool
	// Leaving is true when the upstream says that it leaves: it wants no new requests.
	Leaving bool
	// Pause is for how long the upstream, which refused the request, wants no requests from this
	// router. Zero means that it asks for no pause.
	Pause time.Duration
	// RateLimit is how many requests the upstream takes.
	RateLimit RateLimit
	// Brittle is how many requests the upstream turns away without falling over.
	Brittle RateLimit
	// Load is what the upstream holds.
	Load EngineLoad
	// Signed is true when the answer was written by an upstream and not by an intermediary.
	Signed bool
}

// EngineLoad is the load that an upstream states in an answer: the requests of all routers that it runs, and those that wait there.
type EngineLoad struct {
	Stated           bool
	Running, Waiting int
	// Slots is the number of requests that it runs concurrently; 0 if it does not say so.
	Slots int
	// WorkTimePercent is how long work takes there at the moment, in percent of the usual time; 0 if it does not say so.
	WorkTimePercent float64
}

// RateLimit is a number of requests per second, from all routers together, that an upstream states in an answer. It holds until
// an answer states none.
type RateLimit struct {
	Stated bool
	// PerSecond is NaN if what is stated is no number.
	PerSecond float64
}

// EngineProtocol encodes the headers of calls to upstreams and decodes those of their answers.
type EngineProtocol interface {
	// Header returns the header of a call, given the caller's header.
	Header(caller http.Header, call EngineCall) http.Header
	// Read decodes the header of an answer.
	Read(status int, header http.Header) EngineAnswer
}

// EngineEntry is the store's entry with which an engine or plain service registers itself.
type EngineEntry struct {
	Upstream fleet.Upstream
	// Incarnation differs between the starts of an upstream that keeps its id.
	Incarnation int64
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Cold is how long it remains cold after the entry was written.
	Cold time.Duration
}

// MoveOrder requests that a pool's traffic be moved to a version within a duration.
type MoveOrder struct {
	Pool     fleet.PoolID
	Target   fleet.Version
	Duration time.Duration
}

// DecodedEntry is the decoded content of one entry of the store. At most one field is set; none
// is set for an entry that does not concern the router.
type DecodedEntry struct {
	Desired *routing.State
	Engine  *EngineEntry
	// DataCentreOut is a data centre that is taken out.
	DataCentreOut fleet.DataCentre
	Move          *MoveOrder
	// MoveStatus is the status of a move that the routers have reported.
	MoveStatus *MoveStatus
	// Problem is the error because of which an entry of a known kind can't be decoded.
	Problem error
}

// MoveState is the state of a version move as reported to operators.
type MoveState string

// States of version moves.
const (
	MoveRunning    MoveState = "running"
	MoveSucceeded  MoveState = "succeeded"
	MoveRolledBack MoveState = "rolled_back"
)

// MoveStatus is the reported state of a pool's move.
type MoveStatus struct {
	Pool   fleet.PoolID
	Target fleet.Version
	State  MoveState
}

// EntryCodec decodes and encodes the entries of the store that are shared with the platform and
// its operators.
type EntryCodec interface {
	// Decode decodes an entry of the store.
	Decode(key string, value []byte) DecodedEntry
	// IsOutdated reports whether found, the value of a key in a store that was restored from an older
	// copy, is an earlier state of the key than known, which a router had before. It is false for
	// values that do not tell.
	IsOutdated(key string, known, found []byte) bool
	// RewriteTime returns how long after an outage of the store it may take until the entry of a key that expired meanwhile is
	// written again. It is 0 for entries that no lease ends: their writers remove them.
	RewriteTime(key string) time.Duration
	// DesiredKey returns the key of the desired state.
	DesiredKey() string
	// Prefixes returns the prefixes of the keys of all other entries that Decode knows.
	Prefixes() []string
	// ReportPrefix returns the prefix of the keys that the routers themselves write with MoveStatus.
	ReportPrefix() string
	// MoveStatus returns the entry that reports the state of a move to operators.
	MoveStatus(order MoveOrder, state MoveState) (key string, value []byte, err error)
}

// PromptCache queries which parts of prompts are in an engine's cache.
type PromptCache interface {
	// CachedParts lists the cached parts. The call takes some of the engine's processing time.
	CachedParts(ctx context.Context, upstream fleet.Upstream) ([]string, error)
}

// EntryList provides the list of entry hosts that callers query, and the readiness of this
// router, which the platform checks.
type EntryList struct {
	// Addresses returns the addresses of the routers that accept callers.
	Addresses func() []string
	// TTL returns how long callers may cache the list.
	TTL func() time.Duration
	// Ready reports whether this router accepts callers.
	Ready func() bool
}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Edge holds the interfaces to everything outside the fleet, for a router that routes by host
// and path.
type Edge struct {
	Store     Store
	Codec     EntryCodec
	Callers   CallerProtocol
	Engines   EngineProtocol
	Upstreams Upstreams
	// Connect opens a connection to an upstream and closes it again, to find whether there is a path.
	Connect func(ctx context.Context, upstream fleet.Upstream) error
	Caches  PromptCache
	// Entries returns the handlers for an entry list: the directory that callers query, and the
	// readiness check.
	Entries func(EntryList) (directory, readiness http.Handler)
	// Duties makes the calls of singleton duties, and DutyKinds lists those that the platform wants. Duties is nil if it wants none.
	Duties    Duties
	DutyKinds []DutyKind
}
