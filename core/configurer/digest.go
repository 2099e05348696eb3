package configurer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bucketCount parts the sections so that a change of one hashes few others: 44,000 sections leave 172 in each bucket.
const bucketCount = 256

// section is one named part of a document.
type section struct {
	name    string
	content []byte
}

// bucket is an immutable share of the sections, in name order, with its hash.
type bucket struct {
	sections []section
	sum      [sha256.Size]byte
}

// bucketSet holds every section in the bucket of its name; an empty bucket is nil.
type bucketSet [bucketCount]*bucket

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

// newBucket takes sections in name order.
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

func appendLengthPrefixed[T string | []byte](text []byte, part T) []byte {
	text = binary.BigEndian.AppendUint64(text, uint64(len(part)))
	return append(text, part...)
}

// emptySum is the hash of a bucket without sections.
var emptySum = sha256.Sum256(nil)

// digest returns the hexadecimal SHA-256 over the hashes of all buckets.
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

// apply replaces or adds some sections and removes some; it touches only their buckets.
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

// apply returns the bucket after an edit, in which no content means that the section is removed.
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

// Digest returns the hexadecimal SHA-256 that stands for all sections: a hash over the hashes of 256 buckets, each over
// its sections in name order, each name and content with its length. The environment's name is left out, so that a
// promoted document keeps the digest that it had in trial.
func (s Sections) Digest() string {
	var set bucketSet
	set.apply(s, nil)
	return set.digest()
}
