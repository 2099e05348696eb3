package commander

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryctl/follower"
	"rosemaryspool.example/rosemaryctl/watcher"
)

// Names of settings.
const (
	flagLog         = "log"
	flagInstances   = "instances"
	flagEnvironment = "environment"
	flagOperator    = "operator"
	flagOutput      = "output"
	flagWait        = "wait"
	flagTimeout     = "timeout"
	flagCallTimeout = "call-timeout"
	flagDryRun      = "dry-run"
	flagAccept      = "accept"
	flagMessage     = "message"
	flagBase        = "base"
	flagFrom        = "from"
	flagTo          = "to"
	flagRevision    = "revision"
	flagWith        = "with"
	flagSettle      = "settle"
)

const (
	// defaultWait covers a change that instances read within seconds, with one of them just starting.
	defaultWait = 15 * time.Second
	// defaultSettle is longer than an engine's load report is late, so that a report after it knows all earlier work.
	defaultSettle = 5 * time.Second
	// defaultTimeout bounds a whole command, waits included.
	defaultTimeout = time.Minute
)

func environmentVariable(flag string) cli.ValueSourceChain {
	return cli.EnvVars(variableOf(flag))
}

func stringFlag(name, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Sources: environmentVariable(name)}
}

// sharedFlags are the settings of every command.
func sharedFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag(flagLog, "URL of the log service"),
		stringFlag(flagInstances, "URL of the instance list"),
		stringFlag(flagOperator, "name that stands in every record you make"),
		&cli.StringFlag{Name: flagOutput, Usage: "text or json", Value: outputText, Sources: environmentVariable(flagOutput)},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest run of the command", Value: defaultTimeout, Sources: environmentVariable(flagTimeout)},
		&cli.DurationFlag{Name: flagCallTimeout, Usage: "longest wait for one instance", Value: watcher.DefaultCallTimeout, Sources: environmentVariable(flagCallTimeout)},
	}
}

// changeFlags are the settings of every command that changes something.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagDryRun, Usage: "say what would happen and change nothing", Sources: environmentVariable(flagDryRun)},
		&cli.DurationFlag{Name: flagWait, Usage: "longest wait for all instances; 0s does not wait", Value: defaultWait, Sources: environmentVariable(flagWait)},
		&cli.StringSliceFlag{Name: flagAccept, Usage: "danger that you accept, by its name; may be repeated"},
	}
}

func environmentFlag() cli.Flag {
	return stringFlag(flagEnvironment, "environment, such as trial or production")
}

// checkSettings reports every missing or bad setting at once.
func checkSettings(command *cli.Command, needed ...string) error {
	var lines []string
	for _, name := range needed {
		if command.String(name) == "" {
			lines = append(lines, fmt.Sprintf("setting --%s (%s) is missing (code %d)", name, variableOf(name), missingSetting))
		}
	}
	for _, name := range []string{flagLog, flagInstances} {
		if value := command.String(name); value != "" && !isURL(value) {
			lines = append(lines, fmt.Sprintf("setting --%s (%s): %q is not a URL such as http://10.0.0.1:7000 (code %d)", name, variableOf(name), value, badSetting))
		}
	}
	if output := command.String(flagOutput); output != outputText && output != outputJSON {
		lines = append(lines, fmt.Sprintf("setting --output (%s): %q is neither text nor json (code %d)", variableOf(flagOutput), output, badSetting))
	}
	for _, name := range []string{flagTimeout, flagCallTimeout} {
		if command.Duration(name) <= 0 {
			lines = append(lines, fmt.Sprintf("setting --%s (%s) is not a positive duration (code %d)", name, variableOf(name), badSetting))
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return &Failure{Exit: ExitUsage, Code: missingSetting, Message: strings.Join(lines, "\n")}
}

// variableOf returns the environment variable of a flag.
func variableOf(flag string) string {
	return "ROSEMARYCTL_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

// session is what a command works with.
type session struct {
	printer *printer
	log     appender.Log
	// instances is nil when no instance list is set.
	instances *watcher.Watcher
	operator  identifier.OperatorID
	wait      time.Duration
	settle    time.Duration
	dryRun    bool
	accepted  []string
}

func newSession(command *cli.Command, p *printer) *session {
	s := &session{
		printer:  p,
		log:      appender.NewClient(command.String(flagLog)),
		operator: identifier.OperatorID(command.String(flagOperator)),
		wait:     command.Duration(flagWait),
		settle:   command.Duration(flagSettle),
		dryRun:   command.Bool(flagDryRun),
		accepted: command.StringSlice(flagAccept),
	}
	if address := command.String(flagInstances); address != "" {
		s.instances = watcher.NewWatcher(lister.NewClient(address), command.Duration(flagCallTimeout))
	}
	return s
}

func (s *session) newFollower(environment identifier.Environment) *follower.Follower {
	if s.instances == nil {
		return follower.NewFollower(s.log, environment, nil)
	}
	return follower.NewFollower(s.log, environment, s.instances.Bootstrap)
}
