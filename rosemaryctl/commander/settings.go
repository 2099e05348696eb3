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

// Names of the settings, which are flags and environment variables.
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
	// defaultWait allows for an instance that is still starting; a running one applies a change within seconds.
	defaultWait = 15 * time.Second
	// defaultSettle is longer than the delay of an engine's load reports, so that a later report includes all work that
	// was sent before.
	defaultSettle = 5 * time.Second
	// defaultTimeout limits one command, waits included.
	defaultTimeout = time.Minute
)

func environmentVariable(flag string) cli.ValueSourceChain {
	return cli.EnvVars(variableOf(flag))
}

func stringFlag(name, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Sources: environmentVariable(name)}
}

// sharedFlags returns the settings of every command.
func sharedFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag(flagLog, "URL of the log service"),
		stringFlag(flagInstances, "URL of the instance list"),
		stringFlag(flagOperator, "your name, stored in every record that you append"),
		&cli.StringFlag{Name: flagOutput, Usage: "text or json", Value: outputText, Sources: environmentVariable(flagOutput)},
		&cli.DurationFlag{Name: flagTimeout, Usage: "time limit of the command, waits included", Value: defaultTimeout, Sources: environmentVariable(flagTimeout)},
		&cli.DurationFlag{Name: flagCallTimeout, Usage: "time limit of a call to one instance", Value: watcher.DefaultCallTimeout, Sources: environmentVariable(flagCallTimeout)},
	}
}

// changeFlags returns the settings of the commands that change something.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagDryRun, Usage: "print what would happen and change nothing", Sources: environmentVariable(flagDryRun)},
		&cli.DurationFlag{Name: flagWait, Usage: "longest wait for confirmation by all instances; 0s does not wait", Value: defaultWait, Sources: environmentVariable(flagWait)},
		&cli.StringSliceFlag{Name: flagAccept, Usage: "name of a danger to accept; may be repeated"},
	}
}

func environmentFlag() cli.Flag {
	return stringFlag(flagEnvironment, "environment, such as trial or production")
}

// checkSettings returns a failure that lists every missing or invalid setting, or nil.
func checkSettings(command *cli.Command, required ...string) error {
	var lines []string
	for _, name := range required {
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

// session holds the settings and clients of one command.
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
