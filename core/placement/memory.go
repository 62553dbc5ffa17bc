package placement

import "agateswitch/core/fleet"

// chatMemory remembers where chats last ran and how much of their prompt is in the cache
// there. It is a hint. Its size is bounded: when the newer half is full, the older half is
// forgotten.
type chatMemory struct {
	limit        int
	newer, older map[uint64]trace
}

// tracePlaces is how many upstreams are remembered for a chat.
const tracePlaces = 4

// trace is where a chat last ran, the last place first. A chat that was displaced is still in
// the cache of its earlier upstreams.
type trace [tracePlaces]place

// place is one upstream that has a chat in its cache. Upstreams are told apart by the upper
// half of their hash; the zero place is none.
type place struct {
	upstream uint32
	// tokens is the length of the prompt and answer that the upstream has seen.
	tokens uint32
}

func newChatMemory(limit int) *chatMemory {
	return &chatMemory{limit: limit, newer: map[uint64]trace{}, older: map[uint64]trace{}}
}

func (m *chatMemory) find(chat uint64) (trace, bool) {
	if found, ok := m.newer[chat]; ok {
		return found, true
	}
	found, ok := m.older[chat]
	return found, ok
}

func (m *chatMemory) remember(chat uint64, on *engine, tokens fleet.Work) {
	before, _ := m.find(chat)
	if len(m.newer) >= m.limit/2 {
		m.older = m.newer
		m.newer = make(map[uint64]trace, m.limit/2)
	}
	now := before.without(on)
	copy(now[1:], now[:])
	now[0] = place{upstream: uint32(on.hash >> 32), tokens: uint32(min(tokens, 1<<32-1))}
	m.newer[chat] = now
}

func (m *chatMemory) forget(chat uint64) {
	delete(m.newer, chat)
	delete(m.older, chat)
}

// forgetUpstream drops all that an upstream had in its cache.
func (m *chatMemory) forgetUpstream(lost *engine) {
	for _, half := range []map[uint64]trace{m.newer, m.older} {
		for chat, where := range half {
			if _, isThere := where.rank(lost); isThere {
				half[chat] = where.without(lost)
			}
		}
	}
}

func (m *chatMemory) len() int { return len(m.newer) + len(m.older) }

func (p place) isOn(candidate *engine) bool { return p.upstream == uint32(candidate.hash>>32) }

// without returns the trace without an upstream.
func (t trace) without(lost *engine) trace {
	var rest trace
	count := 0
	for _, where := range t {
		if where.upstream != 0 && !where.isOn(lost) {
			rest[count] = where
			count++
		}
	}
	return rest
}

// rank tells how lately the chat ran on an upstream: 0 for the last time, and false for
// never, as far as it is remembered.
func (t trace) rank(candidate *engine) (int, bool) {
	for i, where := range t {
		if where.upstream != 0 && where.isOn(candidate) {
			return i, true
		}
	}
	return 0, false
}
