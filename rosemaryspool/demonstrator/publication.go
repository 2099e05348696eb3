package demonstrator

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// readinessPollInterval is the pause between two readiness checks.
const readinessPollInterval = 20 * time.Millisecond

// publish appends the first document of an environment and returns its offset in the log, which is its revision.
func publish(ctx context.Context, logURL string, document *configurer.Document) (identifier.Offset, error) {
	sections, err := document.Sections()
	if err != nil {
		return 0, eris.Wrap(err, "demonstrator: split the document into sections")
	}
	change := configurer.NewChange(
		0, configurer.Sections{}, sections, configurer.Author{Operator: "demo", Message: "sample"})
	payload, err := proto.Marshal(change)
	if err != nil {
		return 0, eris.Wrap(err, "demonstrator: encode the change")
	}
	record, err := proto.Marshal(&messenger.Record{
		Id: "demo-publish", Kind: messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, Author: "demo", Payload: payload,
	})
	if err != nil {
		return 0, eris.Wrap(err, "demonstrator: encode the record")
	}
	log := appender.NewClient(logURL)
	return log.Append(ctx, appender.ControlStream(document.Environment), [][]byte{record})
}

// awaitReady polls the daemon until it is ready, that is, until a configuration is in force.
func awaitReady(ctx context.Context, base string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/readyz", nil)
		if err != nil {
			return eris.Wrap(err, "demonstrator: create a readiness request")
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "demonstrator: wait for readiness")
		case <-time.After(readinessPollInterval):
		}
	}
}
