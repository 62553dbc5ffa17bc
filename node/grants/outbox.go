package grants

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// maxOutbox bounds the completions kept for one owner that cannot be reached. Grants whose
// completion is lost expire.
const maxOutbox = 4096

// outbox keeps completions and abandoned questions until they are sent, many in one message.
// It is safe for concurrent use.
type outbox struct {
	mu      sync.Mutex
	pending map[fleet.HostID]*endMessage
}

func newOutbox() *outbox {
	return &outbox{pending: map[fleet.HostID]*endMessage{}}
}

func (o *outbox) at(owner fleet.HostID) *endMessage {
	if o.pending[owner] == nil {
		o.pending[owner] = &endMessage{}
	}
	return o.pending[owner]
}

func (o *outbox) end(owner fleet.HostID, ended endedMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	message := o.at(owner)
	message.Ended = append(message.Ended, ended)
}

func (o *outbox) abandon(owner fleet.HostID, nonce uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	message := o.at(owner)
	message.Abandoned = append(message.Abandoned, nonce)
}

// takeEnded removes the completions for an owner, to travel with another message.
func (o *outbox) takeEnded(owner fleet.HostID) []endedMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	message, found := o.pending[owner]
	if !found {
		return nil
	}
	ended := message.Ended
	message.Ended = nil
	if len(message.Abandoned) == 0 {
		delete(o.pending, owner)
	}
	return ended
}

// putBack keeps completions whose message was not answered. Completing twice is harmless.
func (o *outbox) putBack(owner fleet.HostID, ended []endedMessage) {
	if len(ended) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	message := o.at(owner)
	if len(message.Ended)+len(ended) <= maxOutbox {
		message.Ended = append(message.Ended, ended...)
	}
}

func (o *outbox) takeAll() map[fleet.HostID]*endMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.pending
	o.pending = map[fleet.HostID]*endMessage{}
	return pending
}

// flush sends what waits in the outbox without waiting for the answers. What is not answered
// is sent again as long as the owner is on the host list.
func (s *Service) flush(ctx context.Context) {
	for owner, message := range s.outbox.takeAll() {
		go func() {
			sent := endMessage{Ended: aged(time.Now(), message.Ended), Abandoned: message.Abandoned}
			if err := s.call(ctx, owner, methodEnd, sent, &empty{}); err == nil {
				return
			}
			if _, listed := s.members.Router(owner); !listed {
				return
			}
			s.outbox.putBack(owner, message.Ended)
			for _, nonce := range message.Abandoned {
				s.outbox.abandon(owner, nonce)
			}
		}()
	}
}
