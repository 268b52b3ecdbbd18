// Package memory accounts for the memory that callers and other boxes make a box hold, so that a box refuses
// what it has no memory for instead of exceeding the memory of its machine.
package memory

import (
	"errors"
	"sync"
)

// Account bounds the memory that is reserved at once. It is safe for concurrent use. No other lock is taken while
// its mutex is held.
type Account struct {
	// OnShort is called when there was no room for a reservation. By default it does nothing.
	OnShort func()
	// Reclaim releases at least n bytes of what is of less use than a new request, such as idle connections, or
	// nothing if there are not that many, and reports whether it did. By default there is nothing of the kind.
	Reclaim func(n int64) bool

	limit int64 // in bytes; 0 for none

	mutex    sync.Mutex
	reserved int64 // in bytes
}

// Costs of what a box holds, in bytes: buffers, and stacks of goroutines.
const (
	ConnectionBytes = 24 << 10 // a connection of a caller
	RequestBytes    = 40 << 10 // a request in progress without its body, with its connection to an upstream; or such a connection for another box
)

const (
	// smallBytes is the size up to which a reservation may use the whole limit. Larger ones leave
	// 1/smallShare of it free, so that large bodies do not displace small requests.
	smallBytes = 64 << 10
	smallShare = 4
)

// ErrShort means that there is no memory for what was to be reserved.
var ErrShort = errors.New("memory: not enough memory")

// NewAccount returns an account of up to limit bytes, or without a limit if that is 0.
func NewAccount(limit int64) *Account {
	return &Account{OnShort: func() {}, Reclaim: func(int64) bool { return false }, limit: limit}
}

// Limit returns the number of bytes that may be reserved, 0 for no limit.
func (a *Account) Limit() int64 { return a.limit }

// NewReservation returns a reservation of nothing yet.
func (a *Account) NewReservation() *Reservation { return &Reservation{account: a} }

// Reserve reserves n bytes. It returns ErrShort if there is no room for them.
func (a *Account) Reserve(n int64) (*Reservation, error) {
	r := a.NewReservation()
	if err := r.Grow(n); err != nil {
		return nil, err
	}
	return r, nil
}

// Reserved returns the number of bytes that are reserved.
func (a *Account) Reserved() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.reserved
}

// add reserves n bytes, or fewer than none to release them, whether or not there is room.
func (a *Account) add(n int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.reserved += n
}

// largeLimit returns up to how many bytes large reservations may be made.
func (a *Account) largeLimit() int64 { return a.limit - a.limit/smallShare }

// take reserves n bytes, or returns how many of them there is no room for.
func (a *Account) take(n int64) (missing int64) {
	if n > smallBytes {
		return a.takeWithin(n, a.largeLimit())
	}
	return a.takeWithin(n, a.limit)
}

// takeWithin reserves n bytes if no more than limit are reserved then, or returns how many of them there is no room for.
func (a *Account) takeWithin(n, limit int64) (missing int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.limit > 0 && a.reserved+n > limit {
		return a.reserved + n - limit
	}
	a.reserved += n
	return 0
}

// takeOrReclaim reserves n bytes, for which it reclaims memory if necessary, and reports whether there was room.
func (a *Account) takeOrReclaim(n int64) bool {
	for {
		missing := a.take(n)
		if missing == 0 {
			return true
		}
		if !a.Reclaim(missing) {
			a.OnShort()
			return false
		}
	}
}
