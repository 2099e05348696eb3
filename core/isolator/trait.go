package isolator

import (
	"crypto/sha256"
	"encoding/binary"
)

// Trait is a hash of something that several requests may have in common, such as a part of their prompts.
type Trait uint64

// NewContentTrait returns the trait of a request as a whole, from all that it repeats when it comes again. The hash is
// cryptographic, so that no caller can make a request with the trait of another one.
func NewContentTrait(host, method, uri string, body []byte) Trait {
	h := sha256.New()
	for _, text := range []string{host, method, uri} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
		h.Write([]byte(text))
	}
	h.Write(body)
	return Trait(binary.BigEndian.Uint64(h.Sum(nil)))
}
