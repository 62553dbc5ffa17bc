// Package store is a small stand-in for the platform's key-value service: a subset of the etcd v3
// JSON API in memory, with faults that tests inject.
package store

import (
	"sort"
	"sync"
	"time"

	"agateswitch/adapter/kv"
)

// state holds the keys, the leases and the event history of the service.
type state struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]kv.KeyValue
	// history holds every event, so that a watch can start at any earlier revision.
	history []kv.Event
	// changed is closed and replaced at each new revision.
	changed chan struct{}
	leases  map[int64]*lease
	nextID  int64
	now     func() time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newState() *state {
	return &state{
		revision: 1, keys: map[string]kv.KeyValue{}, changed: make(chan struct{}),
		leases: map[int64]*lease{}, now: time.Now,
	}
}

func (s *state) read(request kv.RangeRequest) kv.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	return s.find(request)
}

func (s *state) find(request kv.RangeRequest) kv.RangeResponse {
	response := kv.RangeResponse{Header: kv.Header{Revision: s.revision}}
	if len(request.RangeEnd) == 0 {
		if value, found := s.keys[string(request.Key)]; found {
			response.KVs = []kv.KeyValue{value}
		}
		return response
	}
	for key, value := range s.keys {
		if inRange(key, request.Key, request.RangeEnd) && value.ModRevision >= request.MinModRevision {
			if request.KeysOnly {
				value.Value = nil
			}
			response.KVs = append(response.KVs, value)
		}
	}
	sort.Slice(response.KVs, func(i, j int) bool {
		return string(response.KVs[i].Key) < string(response.KVs[j].Key)
	})
	return response
}

func inRange(key string, start, end []byte) bool {
	if len(end) == 0 {
		return key == string(start)
	}
	unbounded := len(end) == 1 && end[0] == 0
	return key >= string(start) && (unbounded || key < string(end))
}

func (s *state) commit(request kv.TxnRequest) kv.TxnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	for _, compare := range request.Compare {
		if s.keys[string(compare.Key)].ModRevision != compare.ModRevision {
			return s.conflict(request.Failure)
		}
	}
	s.write(request.Success)
	return kv.TxnResponse{Header: kv.Header{Revision: s.revision}, Succeeded: true}
}

// conflict returns the response of a transaction whose conditions do not hold, with its reads.
func (s *state) conflict(reads []kv.RequestOp) kv.TxnResponse {
	response := kv.TxnResponse{Header: kv.Header{Revision: s.revision}}
	for _, read := range reads {
		var answer kv.ResponseOp
		if read.RequestRange != nil {
			found := s.find(*read.RequestRange)
			answer.ResponseRange = &found
		}
		response.Responses = append(response.Responses, answer)
	}
	return response
}

// write applies all operations at one new revision.
func (s *state) write(operations []kv.RequestOp) {
	if len(operations) == 0 {
		return
	}
	s.revision++
	for _, operation := range operations {
		switch {
		case operation.RequestPut != nil:
			put := operation.RequestPut
			value := kv.KeyValue{Key: put.Key, Value: put.Value, ModRevision: s.revision, Lease: put.Lease}
			s.keys[string(put.Key)] = value
			s.history = append(s.history, kv.Event{Type: "PUT", KV: value})
		case operation.RequestDeleteRange != nil:
			s.removeRange(*operation.RequestDeleteRange)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) removeRange(request kv.DeleteRangeRequest) {
	if len(request.RangeEnd) == 0 {
		s.remove(string(request.Key))
		return
	}
	for key := range s.keys {
		if inRange(key, request.Key, request.RangeEnd) {
			s.remove(key)
		}
	}
}

func (s *state) remove(key string) {
	if _, found := s.keys[key]; !found {
		return
	}
	delete(s.keys, key)
	deleted := kv.KeyValue{Key: []byte(key), ModRevision: s.revision}
	s.history = append(s.history, kv.Event{Type: "DELETE", KV: deleted})
}

// removeExpiredLeases removes expired leases with their keys. The caller holds s.mu.
func (s *state) removeExpiredLeases() {
	now := s.now()
	for id, granted := range s.leases {
		if now.After(granted.expires) {
			s.dropLease(id)
		}
	}
}

// dropLease removes a lease with its keys. The caller holds s.mu.
func (s *state) dropLease(id int64) {
	delete(s.leases, id)
	var operations []kv.RequestOp
	for key, value := range s.keys {
		if value.Lease == id {
			operations = append(operations, kv.RequestOp{RequestDeleteRange: &kv.DeleteRangeRequest{Key: []byte(key)}})
		}
	}
	s.write(operations)
}

// expireAllLeases removes all leases with their keys.
func (s *state) expireAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.dropLease(id)
	}
}

func (s *state) grantLease(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.nextID
}

// keepAlive renews a lease and returns its time to live, zero if the lease has expired.
func (s *state) keepAlive(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	granted, found := s.leases[id]
	if !found {
		return 0
	}
	granted.expires = s.now().Add(granted.ttl)
	return granted.ttl
}

func (s *state) revokeLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.leases[id]; found {
		s.dropLease(id)
	}
}

// eventsSince returns the events of a watch from a position in the history on, the position to
// continue from, and a channel that is closed at the next change.
func (s *state) eventsSince(request kv.WatchCreateRequest, position int) (events []kv.Event, next int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLeases()
	for _, event := range s.history[position:] {
		if event.KV.ModRevision >= request.StartRevision && inRange(string(event.KV.Key), request.Key, request.RangeEnd) {
			events = append(events, event)
		}
	}
	return events, len(s.history), s.changed
}
