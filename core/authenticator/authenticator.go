// Package authenticator finds the account that an API key belongs to.
package authenticator

import (
	"crypto/sha256"

	"rosemaryspool.example/core/identifier"
)

// digest is the hash of a key. Looking up digests takes a time that says nothing about how much of a key was right, and
// a memory dump shows no keys.
type digest [sha256.Size]byte

// Index maps keys to accounts. It is immutable after the last call of Add.
type Index struct {
	callers map[digest]identifier.CallerID
}

// NewIndex returns an empty index with room for a number of keys.
func NewIndex(keys int) *Index {
	return &Index{callers: make(map[digest]identifier.CallerID, keys)}
}

// Add adds a key of an account. Of two accounts with the same key, the first one keeps it.
func (x *Index) Add(key string, caller identifier.CallerID) {
	d := digest(sha256.Sum256([]byte(key)))
	if _, taken := x.callers[d]; !taken {
		x.callers[d] = caller
	}
}

// Caller returns the account of a key, and false if the key is unknown.
func (x *Index) Caller(key string) (identifier.CallerID, bool) {
	caller, known := x.callers[sha256.Sum256([]byte(key))]
	return caller, known
}
