package versionmove

import (
	"context"
	"slices"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
)

// passOnInterval is the time over which a relay batches the messages that it passes on. Evidence that is handed over reaches all
// routers within two of publishInterval and one of these.
const passOnInterval = publishInterval / 2

// retellTime is how long a relay keeps messages for routers that begin to use it. Their former relay may have ended before it passed
// them on.
const retellTime = 2 * time.Second

// publishResponse is the answer to messages.
type publishResponse struct {
	// Relays is true if the router takes evidence that is handed over. Routers of earlier versions do not say so.
	Relays bool `msgpack:"relays,omitempty"`
	// Taken lists the pools whose moves the router knows.
	Taken []fleet.PoolID `msgpack:"taken,omitempty"`
}

// toldMessage is a message that a relay has published or got from another one, and when.
type toldMessage struct {
	at      time.Time
	message moveMessage
}

// route returns the way of the next messages.
func (s *Service) route() dissemination.ReportRoute {
	plan, others := s.fleet.Relays(), s.fleet.Others()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.Route(time.Now(), plan, others)
}

// spread sends messages on their way to all other routers.
func (s *Service) spread(ctx context.Context, route dissemination.ReportRoute, messages []moveMessage) {
	if route.Relay != "" {
		go s.handOver(ctx, route.Relay, messages)
		return
	}
	s.send(ctx, route.Receivers, messages)
	if len(route.Relays) == 0 {
		return
	}
	s.mu.Lock()
	for _, message := range messages {
		s.keep(message)
	}
	s.mu.Unlock()
	passOn := slices.Clone(messages)
	for i := range passOn {
		passOn[i].PassOn = true
	}
	s.send(ctx, route.Relays, passOn)
}

// handOver hands messages to a relay. Evidence that it has not taken goes to the next one with later evidence.
func (s *Service) handOver(ctx context.Context, relay fleet.HostID, messages []moveMessage) {
	call, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var response publishResponse
	err := s.transport.Call(call, relay, methodPublish, messages, &response)
	s.mu.Lock()
	if err != nil || !response.Relays {
		s.reports.Avoid(time.Now(), relay)
		s.log.Info("router took no evidence about version moves; not using it as a relay for a while", "peer", relay, "err", err)
	}
	isPublished := err == nil && !response.Relays
	for i, message := range messages {
		messages[i].HandOver = false
		m, found := s.moves[message.Pool]
		switch {
		case !found || !m.hasID(message.ID):
		case isPublished:
			m.learn(messages[i])
		case !slices.Contains(response.Taken, message.Pool):
			m.evidence.Merge(message.Evidence)
		}
	}
	s.mu.Unlock()
	if isPublished {
		// The relay is of an earlier version, and has learned the messages like published ones.
		s.publish(ctx, messages)
	}
}

// heard records which way the messages of another router take, and returns those of the last time that it may have missed, as it begins
// to use this one as its relay. Callers hold mu.
func (s *Service) heard(from fleet.HostID, messages []moveMessage) (missed []moveMessage) {
	now, isNew := time.Now(), false
	for _, message := range messages {
		switch {
		case message.HandOver:
			isNew = s.reports.HandedOver(now, from) || isNew
		case message.PassOn:
			message.PassOn = false
			s.queue = append(s.queue, message)
			s.keep(message)
		default:
			s.reports.Published(now, from)
		}
	}
	if !isNew {
		return nil
	}
	for _, told := range s.told {
		missed = append(missed, told.message)
	}
	return missed
}

// keep keeps a message for retellTime. Callers hold mu.
func (s *Service) keep(message moveMessage) {
	now := time.Now()
	s.told = slices.DeleteFunc(s.told, func(told toldMessage) bool { return now.Sub(told.at) > retellTime })
	s.told = append(s.told, toldMessage{at: now, message: message})
}

// passOn passes the queued messages on to the routers that use this one as their relay.
func (s *Service) passOn(ctx context.Context) {
	plan := s.fleet.Relays()
	s.mu.Lock()
	messages, members := s.queue, s.reports.Members(time.Now(), plan)
	s.queue = nil
	s.mu.Unlock()
	if len(messages) > 0 {
		s.send(ctx, members, messages)
	}
}

// learn adds the evidence of a message: to the tests, or to what this router publishes next if it is handed over.
func (m *move) learn(message moveMessage) {
	report := rollout.Report{Observer: message.Observer, Number: message.Number}
	if !message.HandOver {
		report.Pairs = message.Evidence
		m.addReport(report)
	} else if m.history.Add(time.Since(m.began), report) {
		m.evidence.Merge(message.Evidence)
	}
}
