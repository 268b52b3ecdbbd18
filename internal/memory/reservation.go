package memory

import "sync"

// Reservation is the memory that is reserved for one purpose, such as a request. It is safe for concurrent use.
// A nil Reservation belongs to no account and has no limit.
type Reservation struct {
	account *Account

	mutex sync.Mutex // the account's is taken under it
	bytes int64
}

// Add reserves n more bytes, whether or not there is room for them: what is in progress goes on, and new requests
// are refused instead.
func (r *Reservation) Add(n int64) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.account.add(n)
	r.bytes += n
}

// Grow reserves n more bytes. It returns ErrShort if there is no room for them.
func (r *Reservation) Grow(n int64) error {
	if r == nil || n == 0 {
		return nil
	}
	if !r.account.takeOrReclaim(n) {
		return ErrShort
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bytes += n
	return nil
}

// GrowAnswer reserves n more bytes for an answer for which held bytes are reserved. It returns ErrShort if there is no room
// for them and the answer is not a small one: its request has run, and would have run in vain.
func (r *Reservation) GrowAnswer(held, n int64) error {
	if held+n > smallBytes {
		return r.Grow(n)
	}
	r.Add(n)
	return nil
}

// TryGrow reserves n more bytes of the part of the account that large reservations may use. It reclaims nothing. It returns
// ErrShort if there is no room for them.
func (r *Reservation) TryGrow(n int64) error {
	if r == nil || n == 0 {
		return nil
	}
	if r.account.takeWithin(n, r.account.largeLimit()) > 0 {
		r.account.OnShort()
		return ErrShort
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bytes += n
	return nil
}

// Release releases all that is reserved. It may be called more than once.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.account.add(-r.bytes)
	r.bytes = 0
}

// Shrink releases n of the bytes that are reserved.
func (r *Reservation) Shrink(n int64) {
	r.Add(-n)
}
