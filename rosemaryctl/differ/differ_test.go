package differ

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/configurer"
)

func TestWrite(t *testing.T) {
	old := configurer.Sections{"keys": []byte(`{"window":"1h0m0s"}`), "models/a": []byte(`{"name":"a"}`), "formatVersion": []byte(`1`)}
	next := configurer.Sections{"keys": []byte(`{"window":"2h0m0s","size":3}`), "models/b": []byte(`{"name":"b"}`), "formatVersion": []byte(`2`)}
	var text strings.Builder
	Write(&text, Compare(old, next))
	require.Equal(t, `~ formatVersion
    value: 1 -> 2
~ keys
    size: (none) -> 3
    window: "1h0m0s" -> "2h0m0s"
- models/a
+ models/b
`, text.String())
	require.Empty(t, Compare(old, old))
}
