// Package port defines the interfaces between a router and its environment: callers, upstreams,
// other routers, and the platform's key-value service and host list.
package port

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrUnavailable is returned when the platform's service did not answer. A write that fails with
// ErrUnavailable may have taken effect: only a read shows whether it has.
const ErrUnavailable = errors.ConstError("key-value service unavailable")

// ErrNotApplied is returned when the platform's service refused a call without any effect. Such
// an error is also an ErrUnavailable.
const ErrNotApplied = errors.ConstError("key-value service refused the call")

// ErrCompacted is returned when the changes after a watch's revision have been compacted.
const ErrCompacted = errors.ConstError("key-value service no longer keeps these changes")

// Entry is one key of the platform's key-value service, with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key; 0 means that it is absent.
	Revision int64
}

// Condition holds when the key has the given revision; 0 means that the key is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Write puts or deletes one key, or deletes a range of keys.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	// DeleteTo makes Delete remove every key from Key up to but not including DeleteTo.
	DeleteTo string
	// Lease attaches the key to a lease, with which it expires; 0 means none.
	Lease LeaseID
}

// Transaction applies all writes atomically if all conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	// ReadConflicts requests the entries of all condition keys, read in the same call, when
	// a condition does not hold.
	ReadConflicts bool
}

// CommitResult is the result of a transaction.
type CommitResult struct {
	// Applied is false when a condition did not hold.
	Applied bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Found holds one entry for each condition, in the order of the conditions, when the
	// transaction has ReadConflicts set and a condition did not hold.
	Found []Entry
}

// LeaseID identifies a lease of the key-value service.
type LeaseID int64

// WatchEvent is a change of one key, or the end of the watch when Err is set.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
	// Progress, when above zero, means that all changes up to this revision have been delivered.
	// Such an event has no entry. Not every store sends it.
	Progress int64
	Err      error
}

// Store is the platform's key-value service. Each call counts against the service's rate limits;
// a watch counts as one call. Values have at most MaxValueBytes.
type Store interface {
	// Get reads one key. For an absent key it returns an Entry with revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys under a prefix, in key order, and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Commit executes a transaction. After ErrUnavailable it may have taken effect.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
	// Watch streams the changes under a prefix after a revision until ctx is done. The last
	// event has Err set, and then the channel is closed.
	Watch(ctx context.Context, prefix string, after int64) <-chan WatchEvent
	// GrantLease creates a lease that expires after ttl without KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its new remaining time. Zero means that it has expired.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// RevokeLease revokes a lease and removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// MaxValueBytes is the size of the largest value that the key-value service accepts.
const MaxValueBytes = 1 << 20
