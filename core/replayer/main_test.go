package replayer

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run generates the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
