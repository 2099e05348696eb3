package compressor

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// dictionaryID is the ID of each dictionary: the content before the change.
	dictionaryID = 1
	// changeWindow is how far back content is found again.
	changeWindow = 8 << 20
)

// CompressChange returns content as a change of the content before it, which takes little more than what is new.
func CompressChange(before, content []byte) []byte {
	// Errors are for invalid options and a failing writer, which there is none of.
	encoder, _ := zstd.NewWriter(
		nil, zstd.WithEncoderDictRaw(dictionaryID, before), zstd.WithWindowSize(changeWindow), zstd.WithEncoderConcurrency(1),
	)
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(content, nil)
}

// DecompressChange returns the content of at most limit bytes. It is an error if the content before it is another one than
// that for which the change was compressed: the frame ends with a checksum.
func DecompressChange(before, change []byte, limit int64) ([]byte, error) {
	decoder, err := zstd.NewReader(
		nil, zstd.WithDecoderDictRaw(dictionaryID, before), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(limit)),
	)
	if err != nil {
		return nil, eris.Wrap(err, "decompress a change")
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(change, nil)
	return content, eris.Wrap(err, "decompress a change")
}
