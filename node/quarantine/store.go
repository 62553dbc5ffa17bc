package quarantine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"agateswitch/core/quarantine"
	"agateswitch/core/revision"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/juju/errors"
)

// observe applies a change of the store. The caller holds mu.
func (s *Service) observe(change replica.Change) {
	id, isHold := strings.CutPrefix(change.Entry.Key, KeyPrefix)
	if !isHold {
		return
	}
	part := quarantine.Part(id)
	current, found := s.holds[part]
	if change.Deleted {
		s.observeLoss(part, current, found)
		return
	}
	content, err := decodeHold(part, change.Entry.Value)
	if err != nil {
		s.log.Warn("failed to decode an entry of the quarantine; ignoring it", "key", change.Entry.Key, "err", err)
		return
	}
	if !found {
		s.makeRoom()
		current = &hold{}
		s.holds[part] = current
	}
	current.revision = change.Entry.Revision
	if found && !content.Supersedes(current.Hold) {
		// What this router knows and the store does not have yet is still to be written.
		current.written = !current.Supersedes(content)
		return
	}
	current.set(content, time.Now())
	current.written = true
	if content.Released {
		s.evidence.AddAnswer([]quarantine.Part{part}, time.Now())
	}
}

// decodeHold decodes the entry of a part.
func decodeHold(part quarantine.Part, value []byte) (quarantine.Hold, error) {
	content, err := quarantine.DecodeHold(value)
	if err == nil && content.Part != part {
		err = errors.Errorf("entry of part %s is under the key of %s", content.Part, part)
	}
	return content, err
}

// IsReadable reports whether an entry of the store holds a part back, or is none of the quarantine's.
func IsReadable(key string, value []byte) bool {
	id, isHold := strings.CutPrefix(key, KeyPrefix)
	if !isHold {
		return true
	}
	_, err := decodeHold(quarantine.Part(id), value)
	return err == nil
}

// observeLoss applies the deletion of an entry. Routers delete only entries that have expired; others were lost by a
// store that was restored from an older copy, and are written again. The caller holds mu.
func (s *Service) observeLoss(part quarantine.Part, current *hold, found bool) {
	if !found {
		return
	}
	if current.Expired(time.Now()) {
		delete(s.holds, part)
		return
	}
	s.log.Warn("entry of the quarantine was lost by the store; writing it again", "part", part)
	current.revision, current.written, current.changedAt = revision.Revision{}, false, time.Now()
}

// writeEntries writes the entries that the store lacks and deletes those that have expired. The router with the
// lowest rank for a part does so first.
func (s *Service) writeEntries(ctx context.Context) {
	for _, write := range s.dueWrites() {
		result, err := s.store.Commit(ctx, write)
		if err != nil || !result.Applied {
			// After a conflict or an unknown outcome the replica shows the entry, and the next check goes on from there.
			s.log.Info("failed to write an entry of the quarantine", "key", write.Writes[0].Key, "conflict", err == nil, "err", err)
			continue
		}
		s.log.Info("entry of the quarantine written", "key", write.Writes[0].Key, "deleted", write.Writes[0].Delete, "revision", result.Revision)
		s.markWritten(write, result)
	}
}

// dueWrites returns the writes that this router has to do now.
func (s *Service) dueWrites() []port.Transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var due []port.Transaction
	for part, h := range s.holds {
		key := KeyPrefix + string(part)
		isExpired := h.Expired(now)
		if h.written && !isExpired {
			continue
		}
		if now.Before(h.changedAt.Add(time.Duration(s.fleet.Rank(key)) * takeoverDelay)) {
			continue
		}
		// The next try comes after all others have had theirs.
		h.changedAt = now.Add(time.Second)
		value, err := json.Marshal(h.Hold)
		if err != nil {
			s.log.Error("failed to encode an entry of the quarantine", "part", part, "err", err)
			continue
		}
		due = append(due, port.Transaction{
			Conditions: []port.Condition{{Key: key, Revision: h.revision}}, Writes: []port.Write{{Key: key, Value: value, Delete: isExpired}},
		})
	}
	return due
}

// markWritten records that the store has an entry.
func (s *Service) markWritten(write port.Transaction, result port.CommitResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := quarantine.Part(strings.TrimPrefix(write.Writes[0].Key, KeyPrefix))
	h, found := s.holds[part]
	if !found {
		return
	}
	if write.Writes[0].Delete {
		delete(s.holds, part)
		return
	}
	value, err := json.Marshal(h.Hold)
	h.revision, h.written = result.Revision, err == nil && string(value) == string(write.Writes[0].Value)
}
