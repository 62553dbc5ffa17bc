package grants

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// maxPendingCompletions limits the completions kept for an unreachable owner. Grants whose
// completion is lost expire.
const maxPendingCompletions = 4096

// outbox collects completions and abandoned requests, to send them to their owners in batches. It
// is safe for concurrent use.
type outbox struct {
	mu      sync.Mutex
	pending map[fleet.HostID]*endMessage
}

func newOutbox() *outbox {
	return &outbox{pending: map[fleet.HostID]*endMessage{}}
}

// messageFor returns the pending message for an owner. The lock is held.
func (o *outbox) messageFor(owner fleet.HostID) *endMessage {
	if o.pending[owner] == nil {
		o.pending[owner] = &endMessage{}
	}
	return o.pending[owner]
}

func (o *outbox) addCompletion(owner fleet.HostID, completion completionMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	message := o.messageFor(owner)
	message.Completions = append(message.Completions, completion)
}

func (o *outbox) addAbandoned(owner fleet.HostID, nonce uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	message := o.messageFor(owner)
	message.Abandoned = append(message.Abandoned, nonce)
}

// removeCompletions removes and returns the completions for an owner, to send them in another
// message.
func (o *outbox) removeCompletions(owner fleet.HostID) []completionMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	message, found := o.pending[owner]
	if !found {
		return nil
	}
	completions := message.Completions
	message.Completions = nil
	if len(message.Abandoned) == 0 {
		delete(o.pending, owner)
	}
	return completions
}

// requeueCompletions adds completions whose message got no reply. Completing a grant twice is
// harmless.
func (o *outbox) requeueCompletions(owner fleet.HostID, completions []completionMessage) {
	if len(completions) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	message := o.messageFor(owner)
	if len(message.Completions)+len(completions) <= maxPendingCompletions {
		message.Completions = append(message.Completions, completions...)
	}
}

// removeAll removes and returns the pending messages by owner.
func (o *outbox) removeAll() map[fleet.HostID]*endMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.pending
	o.pending = map[fleet.HostID]*endMessage{}
	return pending
}

// flush sends the content of the outbox without waiting for the replies. A message without a reply
// is sent again as long as the host list contains the owner.
func (s *Service) flush(ctx context.Context) {
	for owner, message := range s.outbox.removeAll() {
		go func() {
			sent := endMessage{Completions: withAges(time.Now(), message.Completions), Abandoned: message.Abandoned}
			if err := s.call(ctx, owner, methodEnd, sent, &emptyReply{}); err == nil {
				return
			}
			if _, listed := s.members.Router(owner); !listed {
				return
			}
			s.outbox.requeueCompletions(owner, message.Completions)
			for _, nonce := range message.Abandoned {
				s.outbox.addAbandoned(owner, nonce)
			}
		}()
	}
}
