package quarantine

import (
	"context"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/quarantine"
	"agateswitch/port"
)

// Methods of the peer protocol.
const (
	// methodTell tells another router the news.
	methodTell = "quarantine.tell"
	// methodPermit asks the router that is responsible for a part for the permission to work on it, and
	// methodReturn gives it back.
	methodPermit = "quarantine.permit"
	methodReturn = "quarantine.return"
	// methodKnown requests the evidence that a router has.
	methodKnown = "quarantine.known"
)

// maxLearnPeers is how many routers a starting one asks for their evidence.
const maxLearnPeers = 2

// message is what a router tells the others. Times are ages, since clocks differ.
type message struct {
	Ends     []endNews         `msgpack:"ends,omitempty"`
	Answered []quarantine.Part `msgpack:"answered,omitempty"`
	Refuted  []refutedNews     `msgpack:"refuted,omitempty"`
	Holds    []quarantine.Hold `msgpack:"holds,omitempty"`
	// Endings are the ends of engines without regard to parts. Routers of earlier builds neither tell nor read them.
	Endings []endNews `msgpack:"endings,omitempty"`
}

// endNews is the end of an engine on which a part was in work.
type endNews struct {
	Part   quarantine.Part   `msgpack:"p"`
	Engine quarantine.Engine `msgpack:"e"`
	AgeMs  int64             `msgpack:"a"`
	Alone  bool              `msgpack:"l,omitempty"`
	Next   quarantine.Part   `msgpack:"x,omitempty"`
	Origin quarantine.Origin `msgpack:"o,omitempty"`
	Pool   fleet.PoolID      `msgpack:"w,omitempty"`
	Load   int               `msgpack:"n,omitempty"`
	// With of Of requests to the pool had the part.
	With   int               `msgpack:"s,omitempty"`
	Of     int               `msgpack:"f,omitempty"`
	Manner quarantine.Manner `msgpack:"m,omitempty"`
	Teller fleet.HostID      `msgpack:"r,omitempty"`
}

// refutedNews is an engine that has answered a request sent to it some time ago.
type refutedNews struct {
	Engine    quarantine.Engine `msgpack:"e"`
	SentAgeMs int64             `msgpack:"a"`
}

// news is what the other routers have not been told yet.
type news struct {
	// ends count against a part, and endings against none.
	ends, endings []quarantine.End
	// answered holds suspect parts to which an answer has begun.
	answered []quarantine.Part
	// refuted holds when requests were sent to engines that have answered them after they seemed to have ended.
	refuted map[quarantine.Engine]time.Time
	holds   []quarantine.Hold
}

// message returns the news as they are sent at a time.
func (n news) message(now time.Time) message {
	m := message{Ends: endsAt(now, n.ends), Endings: endsAt(now, n.endings), Answered: n.answered, Holds: n.holds}
	for engine, sentAt := range n.refuted {
		m.Refuted = append(m.Refuted, refutedNews{Engine: engine, SentAgeMs: now.Sub(sentAt).Milliseconds()})
	}
	return m
}

func endsAt(now time.Time, ends []quarantine.End) []endNews {
	all := make([]endNews, 0, len(ends))
	for _, end := range ends {
		all = append(all, endNews{
			Part: end.Part, Engine: end.Engine, AgeMs: now.Sub(end.At).Milliseconds(), Next: end.Next, Alone: end.Alone, Origin: end.Origin,
			Pool: end.Pool, Load: end.Load, With: end.Share.With, Of: end.Share.Of, Manner: end.Manner, Teller: end.Teller,
		})
	}
	return all
}

func (n endNews) end(now time.Time) quarantine.End {
	return quarantine.End{
		Part: n.Part, Engine: n.Engine, At: ago(now, n.AgeMs), Next: n.Next, Alone: n.Alone, Origin: n.Origin,
		Pool: n.Pool, Load: n.Load, Share: quarantine.Share{With: n.With, Of: n.Of}, Manner: n.Manner, Teller: n.Teller,
	}
}

func ago(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond)
}

// tell sends the news to all other routers.
func (s *Service) tell(ctx context.Context) {
	s.mu.Lock()
	told := s.news.message(time.Now())
	s.news = news{}
	s.mu.Unlock()
	for _, other := range s.fleet.Others() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, messageTimeout)
			defer cancel()
			var none struct{}
			if err := s.transport.Call(ctx, other, methodTell, told, &none); err != nil {
				s.log.Info("failed to tell a router of ended engines", "peer", other, "err", err)
			}
		}()
	}
}

func (s *Service) handleTell(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var told message
	if err := decode(&told); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(told)
	return struct{}{}, nil
}

// apply applies what another router has told. The caller holds mu.
func (s *Service) apply(told message) {
	now := time.Now()
	for _, one := range told.Endings {
		s.evidence.AddEnding(one.end(now))
	}
	for _, one := range told.Ends {
		end := one.end(now)
		if !s.answeredAt[end.Part].After(end.At) {
			s.addEnd(end)
		}
	}
	for _, one := range told.Refuted {
		s.evidence.Refute(one.Engine, ago(now, one.SentAgeMs))
	}
	s.evidence.AddAnswer(told.Answered, now)
	for _, content := range told.Holds {
		s.adopt(content)
	}
}

// adopt applies what another router has held back, tried or released, unless this router knows something newer. The caller
// holds mu.
func (s *Service) adopt(content quarantine.Hold) {
	current, found := s.holds[content.Part]
	if found && !content.Supersedes(current.Hold) {
		return
	}
	if !found {
		s.makeRoom()
		current = &hold{}
		s.holds[content.Part] = current
	}
	s.log.Warn("part of a prompt held back or released by another router", "part", content.Part, "router", content.Router,
		"released", content.Released, "on_trial", content.OnTrial, "tried", content.Tried, "engines", content.Engines)
	current.set(content, time.Now())
	if content.Released {
		s.evidence.AddAnswer([]quarantine.Part{content.Part}, time.Now())
	}
}

// learn gets the evidence from before this router started from another one, as soon as it knows one.
func (s *Service) learn(ctx context.Context) {
	for range maxLearnAttempts {
		if s.learnOnce(ctx) {
			return
		}
		select {
		case <-time.After(learnInterval):
		case <-ctx.Done():
			return
		}
	}
}

// learnOnce asks a few routers for their evidence. It reports whether one has answered.
func (s *Service) learnOnce(ctx context.Context) bool {
	others := s.fleet.Others()
	for _, other := range others[:min(len(others), maxLearnPeers)] {
		callContext, cancel := context.WithTimeout(ctx, messageTimeout)
		var known message
		err := s.transport.Call(callContext, other, methodKnown, struct{}{}, &known)
		cancel()
		if err != nil {
			s.log.Info("failed to learn from a router of ended engines", "peer", other, "err", err)
			continue
		}
		s.mu.Lock()
		s.apply(known)
		s.mu.Unlock()
		return true
	}
	return false
}

func (s *Service) handleKnown(context.Context, fleet.HostID, port.Decode) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known message
	now := time.Now()
	known.Ends, known.Endings = endsAt(now, s.evidence.Known(now)), endsAt(now, s.evidence.Endings(now))
	for _, h := range s.holds {
		known.Holds = append(known.Holds, h.Hold)
	}
	return known, nil
}

// permitRequest asks for the permission to work on a suspect part, for as long as the request may take.
type permitRequest struct {
	Part    quarantine.Part `msgpack:"part"`
	ForMs   int64           `msgpack:"for_ms"`
	Evident []endNews       `msgpack:"evident,omitempty"`
}

type permitResponse struct {
	Granted bool `msgpack:"granted"`
}

// requestPermit asks for the permission to work on a suspect part.
func (s *Service) requestPermit(ctx context.Context, part quarantine.Part, deadline time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	request := permitRequest{Part: part, ForMs: time.Until(deadline).Milliseconds(), Evident: s.evident(part)}
	var response permitResponse
	to := s.responsible(part)
	if to == s.self {
		return s.grant(request)
	}
	if err := s.transport.Call(ctx, to, methodPermit, request, &response); err != nil {
		s.log.Info("failed to get the permission for a suspect part", "part", part, "peer", to, "err", err)
		return false
	}
	return response.Granted
}

// evident returns the ends that count against a part, of which the responsible router may not have been told yet, and those of
// the parts after it, which may explain them.
func (s *Service) evident(part quarantine.Part) []endNews {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	following := s.evidence.Following(part)
	ends := slices.DeleteFunc(s.evidence.Known(now), func(end quarantine.End) bool { return !slices.Contains(following, end.Part) })
	return endsAt(now, ends)
}

func (s *Service) handlePermit(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request permitRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return permitResponse{Granted: s.grant(request)}, nil
}

// grant gives the permission to work on a suspect part to one router at a time.
func (s *Service) grant(request permitRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(message{Ends: request.Evident})
	now := time.Now()
	if s.isHeld(request.Part) || now.Before(s.permits[request.Part]) {
		return false
	}
	for part, until := range s.permits {
		if !now.Before(until) {
			delete(s.permits, part)
		}
	}
	s.permits[request.Part] = now.Add(time.Duration(request.ForMs) * time.Millisecond)
	return true
}

// returnRequest gives permissions back, with the ends that the work has brought.
type returnRequest struct {
	Part quarantine.Part `msgpack:"part"`
	Ends []endNews       `msgpack:"ends,omitempty"`
}

// Return gives a permit's permissions back.
func (s *Service) Return(permit *Permit) {
	for _, part := range permit.taken {
		request := returnRequest{Part: part, Ends: s.evident(part)}
		to := s.responsible(part)
		if to == s.self {
			s.takeBack(request)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
			defer cancel()
			var none struct{}
			if err := s.transport.Call(ctx, to, methodReturn, request, &none); err != nil {
				s.log.Info("failed to return the permission for a suspect part", "part", part, "peer", to, "err", err)
			}
		}()
	}
	permit.taken = nil
}

func (s *Service) handleReturn(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request returnRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.takeBack(request)
	return struct{}{}, nil
}

func (s *Service) takeBack(request returnRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(message{Ends: request.Ends})
	delete(s.permits, request.Part)
}
