// Package compressor compresses what instances send each other and keep in the store.
package compressor

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// Compress returns compressed content.
func Compress(content []byte) []byte {
	var compressed bytes.Buffer
	// Errors are for an invalid level and a failing writer, which this one isn't.
	w, _ := flate.NewWriter(&compressed, flate.DefaultCompression)
	_, _ = w.Write(content)
	_ = w.Close()
	return compressed.Bytes()
}

// Decompress returns the content of at most limit bytes; a longer one is an error.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if int64(len(content)) > limit {
		return nil, eris.Errorf("decompress: content is longer than %d bytes", limit)
	}
	return content, nil
}
