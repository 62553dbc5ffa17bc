package duty

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"agateswitch/core/duty"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// methodReleased tells a router in line that a subject was released, so that it looks at once. The record alone says that it may claim it.
const methodReleased = "duty.released"

// messageTimeout bounds a message to another router.
const messageTimeout = 300 * time.Millisecond

type releasedMessage struct {
	Duty    string `msgpack:"d"`
	Subject string `msgpack:"s"`
}

func (s *Service) handleReleased(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var released releasedMessage
	if err := decode(&released); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.seats[seatKey{released.Duty, released.Subject}]; known != nil {
		known.wake()
	}
	return struct{}{}, nil
}

// release writes that the subject is free, and tells those in line, also after ctx has ended.
func (s *seat) release(ctx context.Context, released duty.Record) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.lease().CallTimeout())
	defer cancel()
	value, err := json.Marshal(released)
	if err != nil {
		return errors.Trace(err)
	}
	key := s.key(s.era)
	result, err := s.service.store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: key, Revision: s.written}}, Writes: []port.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return errors.Trace(err)
	}
	if !result.Applied {
		return errors.New("the record has changed")
	}
	s.tellReleased(ctx)
	return nil
}

// tellReleased tells the routers in line that the subject is free. Those that are not reached see it at their next look.
func (s *seat) tellReleased(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, next := range s.service.fleet.First(s.name(), candidates) {
		if next == s.service.self {
			continue
		}
		running.Go(func() {
			var none struct{}
			if err := s.service.transport.Call(ctx, next, methodReleased, releasedMessage{s.duty.Name(), s.subject}, &none); err != nil {
				s.service.log.Debug("failed to tell a router that a duty is free", "peer", next, "duty", s.duty.Name(), "subject", s.subject, "err", err)
			}
		})
	}
	running.Wait()
}
