package configurer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
)

// Digest returns the hexadecimal SHA-256 over the sections in name order, each name and content with its length.
// The environment's name is left out, so that a promoted document keeps the digest that it had in trial.
func (s Sections) Digest() string {
	hash := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(s)) {
		if name == sectionEnvironment {
			continue
		}
		writeSized(hash.Write, []byte(name))
		writeSized(hash.Write, s[name])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func writeSized(write func([]byte) (int, error), content []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(content)))
	_, _ = write(size[:])
	_, _ = write(content)
}
