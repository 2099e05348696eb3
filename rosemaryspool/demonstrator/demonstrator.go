// Package demonstrator runs the daemon and stand-ins of the platform in one process and sends the daemon sample
// requests.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/assembler"
	"rosemaryspool.example/rosemaryspool/logger"
	"rosemaryspool.example/standin/generator"
	"rosemaryspool.example/standin/host"
	"rosemaryspool.example/standin/sampler"
)

const (
	instanceID identifier.InstanceID = "demo-1"
	// engineSpeedup is how many times faster than real engines the stand-ins are, so that the demo takes seconds.
	engineSpeedup = 8
	// readyTimeout limits the wait until the published configuration is in force.
	readyTimeout = 10 * time.Second
	// maxBodyBytes is large enough for the longest sample prompts.
	maxBodyBytes = 4 << 20
	bodyTimeout  = 10 * time.Second
)

// Settings selects the deployment and the mode of the demo.
type Settings struct {
	// Deployment is the sample deployment: kalipci or luminaria.
	Deployment string
	// Once ends the demo after the sample requests; otherwise it keeps serving until it is interrupted.
	Once bool
	// LogFile is the path of the daemon's log; if empty, log lines are discarded.
	LogFile string
}

// Run starts the stand-ins and the daemon, publishes the sample configuration, sends requests of each class and prints
// the results. It returns an error if any request failed.
func Run(ctx context.Context, settings Settings, output io.Writer) error {
	document, err := readSample(settings.Deployment)
	if err != nil {
		return err
	}
	log, err := openLog(settings.LogFile)
	if err != nil {
		return err
	}
	defer log.Close()
	platform, err := host.Start(ctx, host.NewSettings(document, generator.Settings{Speed: engineSpeedup}))
	if err != nil {
		return eris.Wrap(err, "demonstrator: start stand-ins")
	}
	defer platform.Close()
	daemon, err := assembler.NewDaemon(daemonSettings(document, platform), log.Logger)
	if err != nil {
		return err
	}
	platform.List.Set(lister.Member{
		ID: string(instanceID), Kind: lister.KindInstance, Address: daemon.CallerAddress(),
		DataCentre: document.Engines[0].DataCentre, PeerAddress: daemon.PeerAddress(),
	})
	daemonContext, stop := context.WithCancel(ctx)
	var background conc.WaitGroup
	background.Go(func() { err = daemon.Run(daemonContext) })
	exerciseErr := exercise(ctx, settings, document, daemon, platform, output)
	stop()
	background.Wait()
	if exerciseErr != nil {
		return exerciseErr
	}
	return err
}

// exercise prints the addresses, publishes the configuration and sends the sample requests to the running daemon.
func exercise(
	ctx context.Context, settings Settings, document *configurer.Document, daemon *assembler.Daemon, platform *host.Host,
	output io.Writer,
) error {
	base := "http://" + daemon.CallerAddress()
	fmt.Fprintf(output, "deployment=%s engines=%d services=%d\n",
		settings.Deployment, len(platform.Engines), len(platform.Services))
	fmt.Fprintf(output, "callers=%s\npeers=%s\nlogUrl=%s\nlistUrl=%s\nstoreUrl=%s\n",
		base, daemon.PeerAddress(), platform.LogURL, platform.ListURL, platform.StoreURL)
	revision, err := publish(ctx, platform.LogURL, document)
	if err != nil {
		return err
	}
	readyContext, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := awaitReady(readyContext, base); err != nil {
		return err
	}
	fmt.Fprintf(output, "event=published environment=%s revision=%d\n", document.Environment, revision)
	err = sendSamples(ctx, base, document, output)
	if settings.Once || err != nil {
		return err
	}
	fmt.Fprintln(output, "event=serving message=\"Send requests to the callers' address; stop with Ctrl-C\"")
	<-ctx.Done()
	return nil
}

func readSample(deployment string) (*configurer.Document, error) {
	switch deployment {
	case "kalipci":
		return configurer.Parse("kalipci.yaml", sampler.Kalipci())
	case "luminaria":
		return configurer.Parse("luminaria.yaml", sampler.Luminaria())
	default:
		return nil, eris.Errorf("demonstrator: unknown deployment %q, want kalipci or luminaria", deployment)
	}
}

func openLog(path string) (*logger.Log, error) {
	if path == "" {
		return logger.NewLog(io.Discard, "error", nil)
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, eris.Wrap(err, "demonstrator: create log file")
	}
	return logger.NewLog(file, "info", nil)
}

func daemonSettings(document *configurer.Document, platform *host.Host) assembler.Settings {
	return assembler.Settings{
		Instance:        instanceID,
		DataCentre:      document.Engines[0].DataCentre,
		Environment:     document.Environment,
		Listen:          "127.0.0.1:0",
		PeerListen:      "127.0.0.1:0",
		LogURL:          platform.LogURL,
		ListURL:         platform.ListURL,
		StoreURL:        platform.StoreURL,
		MaxBodyBytes:    maxBodyBytes,
		BodyTimeout:     bodyTimeout,
		ShutdownTimeout: bodyTimeout,
	}
}
