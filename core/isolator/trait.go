package isolator

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
)

// Trait is a hash of something that several requests may have in common: a part of their prompts, or all their content.
type Trait uint64

// contentBit is set in the traits of whole requests and not in those of parts.
const contentBit Trait = 1 << 63

// IsContent reports whether the trait is that of a request as a whole, which few others share.
func (t Trait) IsContent() bool { return t&contentBit != 0 }

// NewPartTrait returns the trait of requests with a part of a prompt, from its hash.
func NewPartTrait(hash uint64) Trait { return Trait(hash) &^ contentBit }

// String returns the trait as written in logs.
func (t Trait) String() string { return strconv.FormatUint(uint64(t), 16) }

// ParseTrait reads a trait as String writes it.
func ParseTrait(text string) (Trait, error) {
	t, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("isolator: %q is not a trait of up to 16 hexadecimal digits", text)
	}
	return Trait(t), nil
}

// NewContentTrait returns the trait of a request as a whole, from all that it repeats when it comes again. The hash is
// cryptographic, so that no caller can make a request with the trait of another one.
func NewContentTrait(host, method, uri string, body []byte) Trait {
	h := sha256.New()
	for _, text := range []string{host, method, uri} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
		h.Write([]byte(text))
	}
	h.Write(body)
	return Trait(binary.BigEndian.Uint64(h.Sum(nil))) | contentBit
}
