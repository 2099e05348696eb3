package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gatekeeper"
	"rosemaryspool.example/rosemaryspool/logger"
)

// gcPercent lets the heap grow by 150 % between collections, not by Go's default of 100 %: the daemon's heap is small,
// and so is its share of the CPU.
const gcPercent = 150

// heapShare is the share of the process's memory from which on the garbage collector runs as often as it takes to stay
// below it; the rest is for what the Go runtime doesn't count.
const heapShare = 0.8

func gatewayCommand(output io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run one entry instance in front of the platform's upstreams",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "path of the platform's settings file",
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			textFlag("log-level", "info", "lowest level that is logged: debug, info, warn or error"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			// Until then, the signal ends the process.
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			path := command.String("settings")
			if path == "" {
				return &SettingsError{Faults: []SettingFault{{Code: codeMissing, Setting: "settings", Message: "is required"}}}
			}
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return &SettingsError{Faults: []SettingFault{{Code: codeInvalid, Setting: "settings", Message: err.Error()}}}
			}
			registry := metrics.NewRegistry()
			dropped := metrics.GetOrRegisterCounter("logLinesDropped", registry)
			log, err := logger.NewLog(output, command.String("log-level"), func(lines int) { dropped.Inc(int64(lines)) })
			if err != nil {
				return err
			}
			defer log.Close()
			debug.SetGCPercent(gcPercent)
			if settings.Memory > 0 {
				debug.SetMemoryLimit(int64(heapShare * float64(settings.Memory)))
			}
			return runGateway(ctx, settings, path, reload, log.Logger, registry)
		},
	}
}

func runGateway(
	ctx context.Context, settings platform.Settings, path string, reload <-chan os.Signal, log zerolog.Logger,
	registry metrics.Registry,
) error {
	g, err := gatekeeper.NewGatekeeper(settings, gatekeeper.NewNetwork(), log, registry)
	if err != nil {
		return err
	}
	go watchSettings(g, settings, path, reload, log)
	return g.Run(ctx)
}

// settingsPollInterval is how often the settings file is read, as it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings rereads the settings file on a signal and at an interval, until the gateway has stopped. While the file
// is unreadable, the previous settings stay in force.
func watchSettings(
	g *gatekeeper.Gatekeeper, current platform.Settings, path string, reload <-chan os.Signal, log zerolog.Logger,
) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	readable := true
	for {
		signaled := false
		select {
		case <-g.Done():
			return
		case <-ticker.C:
		case <-reload:
			signaled = true
		}
		settings, err := platform.ReadSettings(path)
		if err != nil {
			if readable || signaled {
				log.Error().Err(err).Str("event", "settingsUnreadable").Msg("Failed to read the settings, keeping the old ones")
			}
			readable = false
			continue
		}
		readable = true
		changed := settings != current
		if !changed && !signaled {
			continue
		}
		current = settings
		applied := g.Reload(settings)
		log.Info().Str("event", "settingsReread").Bool("changed", changed).Bool("signaled", signaled).
			Bool("restartNeeded", !applied).Msg("Reread the settings")
	}
}
