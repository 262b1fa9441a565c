// Package deduplicator ensures that the request of each idempotency key is
// executed at most once. A key names the instance that issued it, and only that
// instance may execute it, so hosts need not replicate keys. Once an instance has
// crashed, its keys are refused with the verdict MayHaveRun.
package deduplicator

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// MaxKeyLength is the maximum length of a key in bytes.
	MaxKeyLength = 255
	// MaxNonceLength is the maximum length of the nonce that the caller appends.
	MaxNonceLength = 96
	keySeparator   = "."
	keyParts       = 3
)

// ErrNotIssued is the error for a key that no instance can have issued: it does not
// have the format of an issued key, or its expiry is too far ahead.
var ErrNotIssued = errors.New("deduplicator: the key was not issued by an ask")

// Key is an idempotency key: the instance that may execute it, its expiry by that
// instance's clock, and the caller's nonce.
type Key struct {
	instance verbenastand.Instance
	expiry   time.Time
	nonce    string
}

// Instance returns the only instance that may execute the key.
func (k Key) Instance() verbenastand.Instance { return k.instance }

// Expiry returns when the key expires, by the clock of its instance.
func (k Key) Expiry() time.Time { return k.expiry }

// Nonce returns the part of the key that the caller chose.
func (k Key) Nonce() string { return k.nonce }

// localID identifies the key within the table of its instance.
func (k Key) localID() string {
	return strconv.FormatInt(k.expiry.UnixMilli(), 36) + keySeparator + k.nonce
}

// Prefix returns the part of a key that an instance issues. The caller appends a
// nonce.
func Prefix(i verbenastand.Instance, expiry time.Time) string {
	return i.String() + keySeparator + strconv.FormatInt(expiry.UnixMilli(), 36) + keySeparator
}

// ParseKey parses a key. It returns an error wrapping ErrNotIssued if the key
// does not have the format of an issued one.
func ParseKey(s string) (Key, error) {
	if len(s) > MaxKeyLength {
		return Key{}, fmt.Errorf("key of %d bytes exceeds %d: %w", len(s), MaxKeyLength, ErrNotIssued)
	}
	parts := strings.SplitN(s, keySeparator, keyParts)
	if len(parts) != keyParts {
		return Key{}, ErrNotIssued
	}
	instance, err := verbenastand.ParseInstance(parts[0])
	if err != nil {
		return Key{}, fmt.Errorf("%w: %w", ErrNotIssued, err)
	}
	expiry, err := strconv.ParseInt(parts[1], 36, 64)
	if err != nil || expiry <= 0 {
		return Key{}, fmt.Errorf("%w: bad expiry", ErrNotIssued)
	}
	if !validNonce(parts[2]) {
		return Key{}, fmt.Errorf("%w: bad nonce", ErrNotIssued)
	}
	return Key{instance: instance, expiry: time.UnixMilli(expiry), nonce: parts[2]}, nil
}

func validNonce(s string) bool {
	if s == "" || len(s) > MaxNonceLength {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
