// Package intake bounds what clients make a process hold: connections, headers and bodies. Clients take from one account before
// memory is allocated for them and give back on every way out.
package intake

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"agateswitch/core/memory"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// ErrNoMemory is returned for a body for which the process has no memory.
const ErrNoMemory = errors.ConstError("the router holds too much for its callers")

const (
	// firstBuffer is the size of a body's first buffer.
	firstBuffer = 4 << 10
	// evictionWait is how long a client waits until one that was told to give way has done so.
	evictionWait = 200 * time.Millisecond
	// fieldCost is what a header field costs beyond its text: two strings, a slice and their place in a map.
	fieldCost = 160
)

// Account is the memory that clients hold. It is safe for concurrent use.
type Account struct {
	mu      sync.Mutex
	account *memory.Account
	// evict holds how each holder is made to give way.
	evict map[*memory.Holder]func()
	// freed is closed when bytes are given back; nil while nobody waits for that.
	freed   chan struct{}
	refused int64
	evicted int64
	reports reports
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	return &Account{account: memory.NewAccount(limit), evict: map[*memory.Holder]func(){}}
}

// NewAccountWithReserve returns an account with a limit, and a number of bytes beyond it that only those may take that use the reserve.
func NewAccountWithReserve(limit, reserve int64) *Account {
	a := NewAccount(limit)
	a.account.Reserve = reserve
	return a
}

// LogTo makes the account log who is refused and who gives way. It is called before the account is used.
func (a *Account) LogTo(logger *log.Logger) { a.reports = newReports(logger) }

// Counts returns the bytes held, and how many clients were refused and evicted since the start.
func (a *Account) Counts() (held, refused, evicted int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Used(), a.refused, a.evicted
}

// Holder is what one client holds. It is safe for concurrent use.
type Holder struct {
	account *Account
	// connection is the one that holds it; nil if there is none.
	connection *Conn
	// holder and closed are guarded by the account's mutex.
	holder memory.Holder
	closed bool
}

// NewHolder returns a holder of nothing. give makes the client give way; it must not block.
func (a *Account) NewHolder(give func()) *Holder {
	h := &Holder{account: a}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evict[&h.holder] = give
	return h
}

// Close gives everything back. The holder can't take any more.
func (h *Holder) Close() {
	h.Release()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.closed = true
	delete(h.account.evict, &h.holder)
}

// Release gives everything back.
func (h *Holder) Release() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.give(h.holder.Bytes)
	h.holder.Kept = false
}

// Reset gives everything back before the client's next request.
func (h *Holder) Reset() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.give(h.holder.Bytes)
	h.account.account.Reset(&h.holder)
}

// Assign states who holds it: a team, or an address.
func (h *Holder) Assign(owner string) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.account.Assign(&h.holder, owner)
}

// Allow states whether the holder may use the account's reserve, and how far behind its progress it must be before it gives way. It is
// called before anything is taken.
func (h *Holder) Allow(reserve bool, patience time.Duration) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.holder.UsesReserve, h.holder.Patience = reserve, patience
}

// Keep states that the client's request is complete: it can't give way until everything is given back, or Yield. It reports false if
// the client has to give way, as it was told before.
func (h *Holder) Keep() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.account.account.Keep(&h.holder)
}

// Yield states that the client has to read before more is given back.
func (h *Holder) Yield() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.account.Yield(&h.holder, time.Now())
}

// isKept reports whether the client's request is in work.
func (h *Holder) isKept() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.holder.Kept
}

// Give gives bytes back.
func (h *Holder) Give(bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.give(bytes)
}

// give gives bytes back. Callers hold the account's mutex.
func (h *Holder) give(bytes int64) {
	a := h.account
	if bytes <= 0 {
		return
	}
	a.account.Give(&h.holder, bytes)
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// Take takes bytes, and makes others give way if there is no room. It returns ErrNoMemory if there is still none.
func (h *Holder) Take(ctx context.Context, bytes int64) error {
	var waited *time.Timer
	for {
		taken, freed := h.tryTake(bytes)
		if taken {
			return nil
		}
		if freed == nil {
			return errors.Trace(ErrNoMemory)
		}
		if waited == nil {
			waited = time.NewTimer(evictionWait)
			defer waited.Stop()
		}
		select {
		case <-freed:
		case <-waited.C:
			h.account.countRefused()
			return errors.Trace(ErrNoMemory)
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// tryTake takes bytes, or returns a channel that is closed when others have given bytes back; nil if nobody will.
func (h *Holder) tryTake(bytes int64) (taken bool, freed <-chan struct{}) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return false, nil
	}
	taken, first := a.account.Take(&h.holder, bytes, time.Now())
	if taken {
		return true, nil
	}
	if first == &h.holder {
		a.refused++
		a.report("a caller is refused for want of memory", bytes)
		return false, nil
	}
	a.evicted++
	a.report("a caller gives memory back to another one", bytes)
	a.evict[first]()
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return false, a.freed
}

// report logs that there was no room for bytes. Callers hold the account's mutex.
func (a *Account) report(what string, bytes int64) {
	a.reports.warn(what, "wanted", bytes, "held", a.account.Used(), "limit", a.account.Limit, "refused", a.refused, "evicted", a.evicted)
}

func (a *Account) countRefused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
}

// HeaderCost estimates the memory of a request's header, in bytes.
func HeaderCost(header http.Header) int64 {
	var cost int64
	for name, values := range header {
		for _, value := range values {
			cost += int64(len(name)+len(value)) + fieldCost
		}
	}
	return cost
}

// ReadBody reads a body to its end, of the given length or -1 if it is not known. Each buffer is taken before it is allocated.
func (h *Holder) ReadBody(ctx context.Context, from io.Reader, length int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := int64(max(firstBuffer, 2*cap(body)))
			if length >= 0 {
				// One byte more, so that the end is read without another buffer.
				size = min(size, length+1)
			}
			size = max(size, int64(cap(body))+1)
			if err := h.Take(ctx, size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			h.Give(int64(cap(body)))
			body = grown
		}
		count, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		h.Progress(count)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Progress records that the client has sent or read bytes.
func (h *Holder) Progress(bytes int) {
	if bytes == 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.account.Progress(&h.holder, int64(bytes), time.Now())
}
