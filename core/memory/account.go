// Package memory decides which clients may hold how much of a process's memory. It answers a crowd of clients that send much,
// stop just short of an end and stay: what the process holds for all of them is bounded, and whoever holds the most for the
// longest without progress gives way first.
package memory

import "time"

// Holder is a client that holds memory. Its fields may be read by the owner of the account.
type Holder struct {
	// Bytes is what the client holds.
	Bytes int64
	// ProgressAt is when the client last sent something.
	ProgressAt time.Time
	// Kept is true while the holder can't give way, as its request is in work.
	Kept bool
	// evicted is true once the holder was told to give way.
	evicted bool
}

// Account is the memory that all clients hold together. It is not safe for concurrent use.
type Account struct {
	// Limit is the maximum number of bytes.
	Limit   int64
	used    int64
	holders map[*Holder]struct{}
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account { return &Account{Limit: limit, holders: map[*Holder]struct{}{}} }

// Used returns the number of bytes held.
func (a *Account) Used() int64 { return a.used }

// Take adds bytes to what a holder has. If there is no room it takes none and returns the holder that has to give way first, which
// may be the one that asks; nil means that none can.
func (a *Account) Take(h *Holder, bytes int64, now time.Time) (taken bool, first *Holder) {
	h.ProgressAt = now
	if a.used+bytes > a.Limit {
		return false, a.first(h, bytes, now)
	}
	a.used += bytes
	h.Bytes += bytes
	a.holders[h] = struct{}{}
	return true, nil
}

// Give returns bytes of a holder.
func (a *Account) Give(h *Holder, bytes int64) {
	bytes = min(bytes, h.Bytes)
	a.used -= bytes
	h.Bytes -= bytes
	if h.Bytes == 0 {
		delete(a.holders, h)
		h.evicted = false
	}
}

// minIdle is what a holder counts as idle at least, so that among active ones the largest gives way.
const minIdle = time.Second

// first marks and returns the holder with the largest product of bytes and time without progress. Those that were told to give way
// before come first, as their bytes are about to be free.
func (a *Account) first(asking *Holder, bytes int64, now time.Time) *Holder {
	weight := func(h *Holder, held int64) float64 {
		return float64(held) * max(minIdle, now.Sub(h.ProgressAt)).Seconds()
	}
	var worst *Holder
	var most float64
	for h := range a.holders {
		switch {
		case h.evicted:
			return h
		case h.Kept || h == asking:
		default:
			if w := weight(h, h.Bytes); w > most {
				worst, most = h, w
			}
		}
	}
	if worst == nil || weight(asking, asking.Bytes+bytes) >= most {
		return asking
	}
	worst.evicted = true
	return worst
}
