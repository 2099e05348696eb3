package configurer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets. A change of one section rehashes only its bucket: about 172 of 44,000 sections.
const bucketCount = 256

// section is one named part of a document.
type section struct {
	name    string
	content []byte
}

// bucket is an immutable subset of the sections, in name order, with its hash.
type bucket struct {
	sections []section
	sum      [sha256.Size]byte
}

// bucketSet holds each section in the bucket selected by the hash of its name; an empty bucket is nil.
type bucketSet [bucketCount]*bucket

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

// newBucket returns the bucket of sections that are in name order; nil if there are none. The environment's section is
// not part of the hash.
func newBucket(sections []section) *bucket {
	if len(sections) == 0 {
		return nil
	}
	text := make([]byte, 0, 128*len(sections))
	for _, s := range sections {
		if s.name == sectionEnvironment {
			continue
		}
		text = appendLengthPrefixed(text, s.name)
		text = appendLengthPrefixed(text, s.content)
	}
	return &bucket{sections: sections, sum: sha256.Sum256(text)}
}

func appendLengthPrefixed[T string | []byte](text []byte, value T) []byte {
	text = binary.BigEndian.AppendUint64(text, uint64(len(value)))
	return append(text, value...)
}

// emptySum is the hash of an empty bucket.
var emptySum = sha256.Sum256(nil)

// digest returns the hexadecimal SHA-256 of the hashes of all buckets.
func (s *bucketSet) digest() string {
	hash := sha256.New()
	for _, b := range s {
		if b == nil {
			_, _ = hash.Write(emptySum[:])
			continue
		}
		_, _ = hash.Write(b.sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// apply replaces, adds and removes sections; it rebuilds only the buckets of these.
func (s *bucketSet) apply(changed Sections, removed []string) {
	var edits [bucketCount]Sections
	for name, content := range changed {
		if content == nil {
			content = []byte{}
		}
		edits[bucketOf(name)] = edits[bucketOf(name)].set(name, content)
	}
	for _, name := range removed {
		edits[bucketOf(name)] = edits[bucketOf(name)].set(name, nil)
	}
	for i, edit := range edits {
		if len(edit) > 0 {
			s[i] = s[i].apply(edit)
		}
	}
}

// apply returns the bucket after an edit, in which nil content removes the section.
func (b *bucket) apply(edit Sections) *bucket {
	var next []section
	if b != nil {
		next = make([]section, 0, len(b.sections)+len(edit))
		for _, s := range b.sections {
			if _, ok := edit[s.name]; !ok {
				next = append(next, s)
			}
		}
	}
	for name, content := range edit {
		if content != nil {
			next = append(next, section{name, content})
		}
	}
	slices.SortFunc(next, func(a, b section) int { return strings.Compare(a.name, b.name) })
	return newBucket(next)
}

func (s Sections) set(name string, content []byte) Sections {
	if s == nil {
		s = Sections{}
	}
	s[name] = content
	return s
}

// Digest returns the hexadecimal SHA-256 of all sections: a hash over the hashes of 256 buckets, each over its sections
// in name order, with every name and content prefixed by its length. The environment's name is excluded, so that a
// promoted document keeps the digest that it had in the source environment.
func (s Sections) Digest() string {
	var set bucketSet
	set.apply(s, nil)
	return set.digest()
}
