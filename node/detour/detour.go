// Package detour sends a request through another router while this one has no path to the upstreams of a pool, and lists
// what routers offer to each other for that. The router that took the request from its caller keeps the deadline, the number of
// attempts and the retry budget; the one that sends it chooses the upstream and counts the request there.
package detour

import (
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"agateswitch/core/detour"
	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/port"

	"github.com/juju/errors"
)

// HeaderRequestID is the header that carries the request's id between routers. An answer must repeat it.
const HeaderRequestID = "Agateswitch-Detour-Id"

const (
	headerOrder  = "Agateswitch-Detour-Order"
	headerReport = "Agateswitch-Detour-Report"
	// addressSuffix ends the addresses by which HTTP clients know routers.
	addressSuffix = ".router"
)

// Order is what the router that sends a request has to know beside the request itself.
type Order struct {
	Route    string        `json:"route"`
	Kind     routing.Kind  `json:"kind"`
	Target   time.Duration `json:"target_ns"`
	MaxPause time.Duration `json:"max_pause_ns"`
	Pool     fleet.PoolID  `json:"pool"`
	Team     fleet.Team    `json:"team,omitempty"`
	Rank     int           `json:"rank"`
	// TimeLeft is how much longer the caller waits.
	TimeLeft time.Duration `json:"time_left_ns"`
	// Tried lists the upstreams that must not get the request again.
	Tried []fleet.UpstreamID `json:"tried,omitempty"`
	// ResumeAfter requests only the events after this one.
	ResumeAfter string `json:"resume_after,omitempty"`
	// EngineEnded is true if an engine has ended while it worked on the request.
	EngineEnded bool `json:"engine_ended,omitempty"`
	// Lease limits how long the work may go on without news of the router that wants it. Routers of earlier versions set none.
	Lease *Grant `json:"lease,omitempty"`
}

// Report is what the router that sends a request tells of it. Unless Failed, the rest of the answer is the upstream's.
type Report struct {
	Outcome  detour.Outcome   `json:"outcome"`
	Upstream fleet.UpstreamID `json:"upstream,omitempty"`
	Version  fleet.Version    `json:"version,omitempty"`
	// Incarnation is that of the upstream.
	Incarnation int64 `json:"incarnation,omitempty"`
	Failed      bool  `json:"failed,omitempty"`
	// Sent is true if an upstream may have received the request, and Ran whether one may have run it.
	Sent bool      `json:"sent,omitempty"`
	Ran  fleet.Ran `json:"ran,omitempty"`
	// Arrived is true if the request may have reached any upstream, also one that has taken over the address of another. Routers of
	// earlier versions don't set it, and may have sent such a request twice.
	Arrived     bool   `json:"arrived,omitempty"`
	EngineEnded bool   `json:"engine_ended,omitempty"`
	Cause       string `json:"cause,omitempty"`
	// Refusal is set if no router may send the request now.
	Refusal *fleet.Refusal `json:"refusal,omitempty"`
	// Hints names routers that have a path to the pool.
	Hints []fleet.HostID `json:"hints,omitempty"`
}

// Fleet provides the other routers: those of this router's data centre and the others, each in random order.
type Fleet interface {
	Neighbours() (near, far []fleet.HostID)
}

// Service is one router's part in detours. It is safe for concurrent use.
type Service struct {
	fleet     Fleet
	upstreams port.Upstreams
	// limit is how many requests of other routers are in work at most.
	limit   int
	workers *workers
	// leases is nil before Join.
	leases *leases

	mu     sync.Mutex
	peers  *detour.Peers
	inWork int
}

// New returns the service of a router. upstreams sends calls to the addresses that Address returns, with HeaderRequestID.
func New(others Fleet, upstreams port.Upstreams, cores float64) *Service {
	return &Service{fleet: others, upstreams: upstreams, limit: detour.Limit(cores), peers: detour.NewPeers(), workers: newWorkers(rand.Uint64())}
}

// Address returns the address by which an HTTP client knows a router.
func Address(id fleet.HostID) string { return hex.EncodeToString([]byte(id)) + addressSuffix }

// ParseAddress returns the router of an address, with or without a port.
func ParseAddress(address string) (fleet.HostID, error) {
	name, _, _ := strings.Cut(address, ":")
	id, err := hex.DecodeString(strings.TrimSuffix(name, addressSuffix))
	return fleet.HostID(id), errors.Annotatef(err, "address %q", address)
}

// Choose returns the router to offer a request for a pool to, apart from those that were asked. It reports false if there is
// none.
func (s *Service) Choose(pool fleet.PoolID, asked []fleet.HostID) (fleet.HostID, bool) {
	near, far := s.fleet.Neighbours()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.Choose(pool, near, far, asked, time.Now())
}

// Observe records what became of an offer.
func (s *Service) Observe(pool fleet.PoolID, id fleet.HostID, outcome detour.Outcome, hints []fleet.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.peers.Prune(now)
	s.peers.Observe(pool, id, outcome, now)
	for _, hint := range hints {
		s.peers.Hint(pool, hint, now)
	}
}

// Hints returns routers that have had a path to a pool lately.
func (s *Service) Hints(pool fleet.PoolID) []fleet.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.Hints(pool, time.Now())
}

// Begin counts a request of another router as in work until the returned function is called. It reports false if there is no
// room for one of its rank.
func (s *Service) Begin(rank int) (end func(), admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !detour.HasRoom(s.inWork, s.limit, rank) {
		return nil, false
	}
	s.inWork++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inWork--
	}, true
}

// ReadOrder returns the order of a request from another router, and removes it from the header.
func ReadOrder(header http.Header) (Order, error) {
	var order Order
	err := json.Unmarshal([]byte(header.Get(headerOrder)), &order)
	header.Del(headerOrder)
	header.Del(HeaderRequestID)
	return order, errors.Annotate(err, "reading the order of a detour")
}

// WriteReport puts a report into the header of an answer.
func WriteReport(header http.Header, id fleet.RequestID, report Report) error {
	text, err := json.Marshal(report)
	if err != nil {
		return errors.Trace(err)
	}
	header.Set(headerReport, string(text))
	header.Set(HeaderRequestID, string(id))
	return nil
}

// readReport returns the report of an answer, and removes it from the header.
func readReport(header http.Header) (Report, error) {
	var report Report
	err := json.Unmarshal([]byte(header.Get(headerReport)), &report)
	header.Del(headerReport)
	header.Del(HeaderRequestID)
	return report, errors.Annotate(err, "reading the report of a detour")
}
