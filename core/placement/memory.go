package placement

import "agateswitch/core/fleet"

// chatMemory remembers where chats last ran and how much of their prompt is in the cache
// there. It is a hint. Its size is bounded: when the newer half is full, the older half is
// forgotten.
type chatMemory struct {
	limit        int
	newer, older map[uint64]trace
}

// trace is where a chat last ran. Upstreams are told apart by the upper half of their hash.
type trace struct {
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
	if len(m.newer) >= m.limit/2 {
		m.older = m.newer
		m.newer = make(map[uint64]trace, m.limit/2)
	}
	m.newer[chat] = trace{upstream: uint32(on.hash >> 32), tokens: uint32(min(tokens, 1<<32-1))}
}

func (m *chatMemory) forget(chat uint64) {
	delete(m.newer, chat)
	delete(m.older, chat)
}

// forgetUpstream drops all that an upstream had in its cache.
func (m *chatMemory) forgetUpstream(lost *engine) {
	for _, half := range []map[uint64]trace{m.newer, m.older} {
		for chat, where := range half {
			if where.isOn(lost) {
				delete(half, chat)
			}
		}
	}
}

func (m *chatMemory) len() int { return len(m.newer) + len(m.older) }

func (t trace) isOn(candidate *engine) bool { return t.upstream == uint32(candidate.hash>>32) }
