// Package memory decides which clients may hold how much of a process's memory. It answers a crowd of clients that send much,
// stop just short of an end and stay: what the process holds for all of them is bounded, no owner of many connections takes all of
// it, and whoever holds the most for the longest with the least progress gives way first.
package memory

import "time"

// ownerShare is the part of the limit that several holders of one owner may take.
const ownerShare = 0.75

// minRate is the rate, in bytes a second, from which on a client counts as active. A slower one falls behind.
const minRate = 4 << 10

// minIdle is what a holder counts as idle at least, so that among active ones the largest gives way.
const minIdle = time.Second

// Holder is a client that holds memory. Its fields may be read by the owner of the account.
type Holder struct {
	// Bytes is what the client holds.
	Bytes int64
	// ProgressAt is when the client would have sent what it has sent at minRate, at most the time of its last progress.
	ProgressAt time.Time
	// Kept is true while the holder can't give way, as its request is in work.
	Kept bool
	// UsesReserve is true if it may take from the reserve. It is set before anything is taken.
	UsesReserve bool
	// Patience is how far behind its progress a holder must be before it gives way.
	Patience time.Duration
	// owner is who holds it: a team, or an address; empty if it is not known.
	owner string
	// evicted is true once the holder was told to give way.
	evicted bool
}

// Account is the memory that all clients hold together. It is not safe for concurrent use.
type Account struct {
	// Limit is the maximum number of bytes. Reserve is how many more only those may take that use the reserve.
	Limit, Reserve int64
	// used is what all hold, ordinary what all hold that may not use the reserve, and owned what each owner holds.
	used, ordinary int64
	owned          map[string]int64
	holders        map[*Holder]struct{}
}

// NewAccount returns an account with a limit in bytes and no reserve.
func NewAccount(limit int64) *Account {
	return &Account{Limit: limit, owned: map[string]int64{}, holders: map[*Holder]struct{}{}}
}

// Used returns the number of bytes held.
func (a *Account) Used() int64 { return a.used }

// Take adds bytes to what a holder has. If there is no room it takes none and returns the holder that has to give way first, which
// may be the one that asks.
func (a *Account) Take(h *Holder, bytes int64, now time.Time) (taken bool, first *Holder) {
	if h.Bytes == 0 {
		h.ProgressAt = now
	}
	if isRival := a.exceeded(h, bytes); isRival != nil {
		return false, a.first(h, bytes, now, isRival)
	}
	a.add(h, bytes)
	a.holders[h] = struct{}{}
	return true, nil
}

// exceeded returns which holders share the bound that more bytes of a holder would exceed, the narrowest bound first; nil for none.
func (a *Account) exceeded(h *Holder, bytes int64) func(*Holder) bool {
	others := a.owned[h.owner] - h.Bytes
	switch {
	case h.owner != "" && others > 0 && others+h.Bytes+bytes > a.ownerLimit():
		return func(rival *Holder) bool { return rival.owner == h.owner }
	case !h.UsesReserve && a.ordinary+bytes > a.Limit:
		return func(rival *Holder) bool { return !rival.UsesReserve }
	case a.used+bytes > a.Limit+a.Reserve:
		return func(*Holder) bool { return true }
	}
	return nil
}

func (a *Account) ownerLimit() int64 { return int64(float64(a.Limit) * ownerShare) }

// add changes the sums by bytes, which may be negative.
func (a *Account) add(h *Holder, bytes int64) {
	a.used += bytes
	h.Bytes += bytes
	if !h.UsesReserve {
		a.ordinary += bytes
	}
	a.addOwned(h.owner, bytes)
}

func (a *Account) addOwned(owner string, bytes int64) {
	if owner == "" {
		return
	}
	a.owned[owner] += bytes
	if a.owned[owner] == 0 {
		delete(a.owned, owner)
	}
}

// Assign changes the owner of a holder, with what it holds.
func (a *Account) Assign(h *Holder, owner string) {
	a.addOwned(h.owner, -h.Bytes)
	h.owner = owner
	a.addOwned(owner, h.Bytes)
}

// Give returns bytes of a holder.
func (a *Account) Give(h *Holder, bytes int64) {
	a.add(h, -min(bytes, h.Bytes))
	if h.Bytes == 0 {
		delete(a.holders, h)
	}
}

// Progress records that a client has sent or read bytes.
func (a *Account) Progress(h *Holder, bytes int64, now time.Time) {
	h.ProgressAt = h.ProgressAt.Add(time.Duration(bytes) * time.Second / minRate)
	if h.ProgressAt.After(now) {
		h.ProgressAt = now
	}
}

// Keep states that a holder's request is complete, so that it gives way no more. It reports false if it was told to give way
// before, and has to.
func (a *Account) Keep(h *Holder) bool {
	h.Kept = !h.evicted
	return h.Kept
}

// Yield states that a holder whose request was in work waits for its client again.
func (a *Account) Yield(h *Holder, now time.Time) { h.Kept, h.ProgressAt = false, now }

// Reset forgets that a holder was told to give way, as it begins a new request.
func (a *Account) Reset(h *Holder) {
	a.Give(h, h.Bytes)
	h.Kept, h.evicted = false, false
}

// first marks and returns the rival with the largest product of bytes and time behind its progress. Those that were told to give way
// before come first, as their bytes are about to be free.
func (a *Account) first(asking *Holder, bytes int64, now time.Time, isRival func(*Holder) bool) *Holder {
	weight := func(h *Holder, held int64) float64 {
		return float64(held) * max(minIdle, now.Sub(h.ProgressAt)).Seconds()
	}
	var worst *Holder
	var most float64
	for h := range a.holders {
		switch {
		case h.Kept || !isRival(h) || now.Sub(h.ProgressAt) < h.Patience:
		case h.evicted:
			return h
		case h == asking:
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
