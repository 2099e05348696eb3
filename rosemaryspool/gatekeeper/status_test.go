package gatekeeper

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
)

func TestMetricsNameTheVersionOfTheConfiguration(t *testing.T) {
	ti := newTestInstance(t)
	for _, version := range []int{0, 7, 9} {
		if version > 0 {
			ti.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, fmt.Appendf(nil, routeTable, version))
		}
		require.EventuallyWithT(t, func(c *assert.CollectT) {
			response, err := http.Get("http://" + ti.gatekeeper.metricsListener.Addr().String() + "/metrics")
			require.NoError(c, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(c, err)
			require.Contains(c, string(body), fmt.Sprintf("configurationVersion %d\n", version))
		}, 2*time.Second, 5*time.Millisecond)
	}
}
