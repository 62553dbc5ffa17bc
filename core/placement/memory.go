package placement

import "agateswitch/core/fleet"

// chatMemory records on which upstreams chats last ran and how many of their tokens are cached
// there. It is a hint. Its size is bounded: when the newer half is full, the older half is
// evicted.
type chatMemory struct {
	limit        int
	newer, older map[uint64]chatPlacements
}

// maxPlacementsPerChat is the number of upstreams recorded for a chat.
const maxPlacementsPerChat = 4

// chatPlacements lists the upstreams where a chat ran, the most recent one first. A displaced
// chat remains in the cache of its earlier upstreams.
type chatPlacements [maxPlacementsPerChat]cachedPlacement

// cachedPlacement is one upstream that has a chat in its cache. The upper half of its hash
// identifies the upstream; the zero value means none.
type cachedPlacement struct {
	upstream uint32
	// tokens is the length of the prompt and answer that the upstream has processed.
	tokens uint32
}

func newChatMemory(limit int) *chatMemory {
	return &chatMemory{limit: limit, newer: map[uint64]chatPlacements{}, older: map[uint64]chatPlacements{}}
}

func (m *chatMemory) find(chat uint64) (chatPlacements, bool) {
	if found, ok := m.newer[chat]; ok {
		return found, true
	}
	found, ok := m.older[chat]
	return found, ok
}

// record makes an upstream the chat's most recent one.
func (m *chatMemory) record(chat uint64, e *engine, tokens fleet.Work) {
	earlier, _ := m.find(chat)
	if len(m.newer) >= m.limit/2 {
		m.older = m.newer
		m.newer = make(map[uint64]chatPlacements, m.limit/2)
	}
	updated := earlier.without(e)
	copy(updated[1:], updated[:])
	updated[0] = cachedPlacement{upstream: uint32(e.hash >> 32), tokens: uint32(min(tokens, 1<<32-1))}
	m.newer[chat] = updated
}

func (m *chatMemory) remove(chat uint64) {
	delete(m.newer, chat)
	delete(m.older, chat)
}

// removeUpstream removes all placements on an upstream that has lost its cache.
func (m *chatMemory) removeUpstream(lost *engine) {
	for _, half := range []map[uint64]chatPlacements{m.newer, m.older} {
		for chat, placements := range half {
			if _, found := placements.rank(lost); found {
				half[chat] = placements.without(lost)
			}
		}
	}
}

func (m *chatMemory) len() int { return len(m.newer) + len(m.older) }

func (p cachedPlacement) isOn(candidate *engine) bool {
	return p.upstream == uint32(candidate.hash>>32)
}

// without returns the placements on the other upstreams.
func (p chatPlacements) without(lost *engine) chatPlacements {
	var remaining chatPlacements
	count := 0
	for _, placement := range p {
		if placement.upstream != 0 && !placement.isOn(lost) {
			remaining[count] = placement
			count++
		}
	}
	return remaining
}

// rank returns the position of an upstream among the chat's recent ones, 0 for the most recent,
// and false if it is not recorded.
func (p chatPlacements) rank(candidate *engine) (int, bool) {
	for i, placement := range p {
		if placement.upstream != 0 && placement.isOn(candidate) {
			return i, true
		}
	}
	return 0, false
}
