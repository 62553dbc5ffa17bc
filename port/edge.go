package port

import (
	"context"
	"net"
	"net/http"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/routing"
)

// PromptPart is one part of a prompt. Requests that share their first parts share the cache
// of an engine up to there.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallerCall is what a caller says of its request, apart from method, path and body.
type CallerCall struct {
	// ID is unique for each attempt of the caller.
	ID fleet.RequestID
	// Key is the caller's API key.
	Key string
	// Timeout is how long the caller waits. Zero means that it does not say.
	Timeout time.Duration
	// Prompt lists the parts of a prompt, in order. It is empty for plain services.
	Prompt []PromptPart
	// ResumeAfter is the last event that the caller has of an earlier answer.
	ResumeAfter string
}

// CallerProtocol reads callers' requests and writes refusals.
type CallerProtocol interface {
	Read(request *http.Request) CallerCall
	// Refuse answers a request with a refusal of the router's own.
	Refuse(w http.ResponseWriter, refusal *fleet.Refusal)
}

// EngineCall is what an upstream is told beside method, path and body.
type EngineCall struct {
	ID       fleet.RequestID
	Upstream fleet.UpstreamID
	Team     fleet.Team
	// TimeLeft is how long the answer is still waited for.
	TimeLeft time.Duration
	// Rank is the request's urgency; zero is the most urgent.
	Rank int
	// ResumeAfter asks for the events after this one.
	ResumeAfter string
	// FetchFrom is the address of an engine from which the called one may copy the cached
	// prompt. Empty means none.
	FetchFrom string
}

// EngineAnswer is what the header of an upstream's answer tells.
type EngineAnswer struct {
	// ID is the request that the answer belongs to.
	ID fleet.RequestID
	// NotRun is true when the upstream says that it has not run the request.
	NotRun bool
	// Misdirected is true when another upstream has the address.
	Misdirected bool
	// Signed is true when the answer is an upstream's, and not of something between.
	Signed bool
}

// EngineProtocol writes the header of upstreams' calls and reads that of their answers.
type EngineProtocol interface {
	Header(caller http.Header, call EngineCall) http.Header
	Read(status int, header http.Header) EngineAnswer
}

// EngineEntry is how an engine or plain service registers itself in the store.
type EngineEntry struct {
	Upstream fleet.Upstream
	// Born tells starts of an upstream apart that keep its id.
	Born int64
	// Slots is how many requests it runs at once.
	Slots int
	// Cold is how long it stays cold, from when the entry was written.
	Cold time.Duration
}

// MoveOrder asks that a pool's traffic moves to a version by a time.
type MoveOrder struct {
	Pool     fleet.PoolID
	Target   fleet.Version
	Duration time.Duration
}

// Fact is what one entry of the store tells. One field at the most is set; none is for an
// entry that means nothing here.
type Fact struct {
	Desired *routing.State
	Engine  *EngineEntry
	// Out is a data centre that is taken out.
	Out  fleet.DataCentre
	Move *MoveOrder
	// MoveStatus is what the routers have reported of a move.
	MoveStatus *MoveStatus
	// Problem tells why an entry that should mean something can't be read.
	Problem error
}

// MoveState is the state of a version move, as operators read it.
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

// FactCodec reads and writes entries of the store that others share.
type FactCodec interface {
	// Decode reads an entry of the store.
	Decode(key string, value []byte) Fact
	// DesiredKey is the key of the desired state.
	DesiredKey() string
	// MoveStatus makes the entry that tells operators how a move stands.
	MoveStatus(order MoveOrder, state MoveState) (key string, value []byte, err error)
}

// PromptCache reads which parts of prompts an engine has in its cache.
type PromptCache interface {
	// CachedParts lists the parts. The call costs the engine some of its time.
	CachedParts(ctx context.Context, upstream fleet.Upstream) ([]string, error)
}

// EntryList is what callers and the platform ask a router beside requests.
type EntryList struct {
	// Addresses returns the addresses of the routers that take callers.
	Addresses func() []string
	// TTL is how long callers may keep an answer.
	TTL func() time.Duration
	// Ready tells whether this router takes callers.
	Ready func() bool
}

// Dial makes a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Edge is everything that a router by host and path meets outside the fleet.
type Edge struct {
	Store     Store
	Codec     FactCodec
	Callers   CallerProtocol
	Engines   EngineProtocol
	Upstreams Upstreams
	Caches    PromptCache
	// Entries serves an entry list: the directory that callers ask, and the readiness check.
	Entries func(EntryList) (directory, readiness http.Handler)
}
