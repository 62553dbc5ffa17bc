// Package port holds the interfaces through which decisions reach the outside world:
// the platform's key-value service and host list, other routers, and time.
package port

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrUnavailable means that the platform's service gave no answer. A write that ends in
// ErrUnavailable may have taken effect: only reading back tells.
const ErrUnavailable = errors.ConstError("key-value service unavailable")

// ErrNothingDone means that the platform's service refused a call before doing anything. It is
// also an ErrUnavailable.
const ErrNothingDone = errors.ConstError("key-value service refused the call")

// ErrCompacted means that the changes after a watch's revision are no longer kept.
const ErrCompacted = errors.ConstError("key-value service no longer keeps these changes")

// Entry is one key of the platform's key-value service.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key; 0 means absent.
	Revision int64
}

// Condition holds when the key's revision is the one given; 0 means that the key is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Write puts or deletes one key, or deletes a range of keys.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	// DeleteTo makes Delete remove every key from Key up to, not including, DeleteTo.
	DeleteTo string
	// Lease ties the key's life to a lease; 0 means none.
	Lease LeaseID
}

// Transaction makes all writes at once if all conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	// ReadConflicts asks for the entries of all condition keys, read in the same call, when
	// a condition does not hold.
	ReadConflicts bool
}

// CommitResult tells what a transaction did.
type CommitResult struct {
	// Applied is false when a condition did not hold.
	Applied bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Found holds one entry a condition, in the order of the conditions, when the
	// transaction asked with ReadConflicts and a condition did not hold.
	Found []Entry
}

// LeaseID names a lease of the key-value service.
type LeaseID int64

// WatchEvent is a change of one key, or the end of the watch when Err is set.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
	// Progress, when above zero, tells that all changes up to this revision have come. Such an
	// event carries no entry. Not every store sends it.
	Progress int64
	Err      error
}

// Store is the platform's key-value service. Each call counts against its rates, a
// waiting watch as one. Values hold up to MaxValueBytes.
type Store interface {
	// Get reads one key. An absent key gives an Entry of revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys under a prefix, in key order, and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Commit makes a transaction. On ErrUnavailable it may have taken effect.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
	// Watch streams the changes under a prefix after a revision, until ctx ends. The
	// channel ends with one event that carries Err, then closes.
	Watch(ctx context.Context, prefix string, after int64) <-chan WatchEvent
	// GrantLease makes a lease that lapses after ttl without KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns the time that it now has. Zero: it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20
