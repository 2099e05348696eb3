package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/classifier"
	"rosemaryspool.example/core/configurer"
)

// slowBody is a body that is still on its way when something happens.
type slowBody struct {
	io.Reader
	meanwhile func()
}

// Read implements io.Reader.
func (b slowBody) Read(p []byte) (int, error) {
	b.meanwhile()
	return b.Reader.Read(p)
}

// A call whose body was sent long after a change ran by the configuration before it.
func TestCallIsHandledByTheConfigurationInForceWhenItHasArrived(t *testing.T) {
	s := NewServer(
		Settings{MaxBodyBytes: 1 << 10, BodyTimeout: time.Second}, nil, nil, zerolog.Nop(), metrics.NewRegistry(),
	)
	document := &configurer.Document{
		Services: []configurer.Service{{Name: "s"}}, Classes: []configurer.Class{{Name: "order", Service: "s"}},
		Callers: []configurer.Caller{{ID: "c"}},
	}
	s.SetConfiguration(classifier.NewClassifier(1, document))
	body := slowBody{strings.NewReader("body"), func() {
		s.SetConfiguration(classifier.NewClassifier(2, &configurer.Document{Callers: document.Callers}))
	}}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/services/s/orders", body)
	r.Header.Set(HeaderCaller, "c")
	r.Header.Set(HeaderClass, "order")
	w := httptest.NewRecorder()
	s.callService(w, r, httprouter.Params{{Key: "service", Value: "s"}, {Key: "path", Value: "/orders"}})
	require.Contains(t, w.Body.String(), `service \"s\" is not configured`)
}
