package scripter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestScript(t *testing.T) {
	page :=
		"# Page\n\n$ no command\n<!-- test: leave prova-2 -->\n\n1. Look.\n\n   ```console\n   $ rosemaryctl status\n" +
			"   prova-2: leaving\n   $ rosemaryctl drain x # exit 9\n   ```\n\n```sh\n$ export A=b\n```\n"
	require.Equal(t, []string{
		"leave prova-2", "exits 0 rosemaryctl status", "shows 'prova-2: leaving'", "exits 9 rosemaryctl drain x",
	}, Script(page))
}
