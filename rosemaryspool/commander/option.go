package commander

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/assembler"
)

// Codes of setting faults, for scripts that match on them.
const (
	codeMissing = 6001
	codeInvalid = 6002
)

// SettingFault is one missing or invalid setting.
type SettingFault struct {
	Code    int
	Setting string
	Message string
}

// SettingsError holds all faults of the settings of one start.
type SettingsError struct{ Faults []SettingFault }

// Error lists the faults, one per line.
func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("code=%d setting=%s message=%q", f.Code, f.Setting, f.Message)
	}
	return strings.Join(lines, "\n")
}

// serveFlags returns the settings of the daemon with their defaults and environment variables.
func serveFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("instance", "", "id of this instance, unique in its environment"),
		textFlag("data-centre", "", "data centre of this instance"),
		textFlag("environment", "", "environment whose configuration document is used, such as production"),
		textFlag("listen", "", "address for callers, IP:PORT"),
		textFlag("peer-listen", "", "address for other instances and operators, IP:PORT"),
		textFlag("log-url", "", "base URL of the platform's log service"),
		textFlag("list-url", "", "base URL of the platform's instance list"),
		textFlag("store-url", "", "base URL of the platform's weight store"),
		textFlag("log-level", "info", "lowest level that is logged: debug, info, warn or error"),
		&cli.Int64Flag{
			Name: "max-body-bytes", Value: 4 << 20, Usage: "largest request body in bytes",
			Sources: environment("max-body-bytes"),
		},
		durationFlag("body-timeout", 10*time.Second, "time in which a request's body must arrive"),
		durationFlag("shutdown-delay", 2*time.Second,
			"time from failing readiness to closing the listener, for the balancer"),
		durationFlag("shutdown-timeout", 60*time.Second, "longest wait for work in flight on a planned stop"),
	}
}

func textFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: environment(name)}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: environment(name)}
}

// environment returns the environment variable of a setting: max-body-bytes is read from ROSEMARYSPOOL_MAX_BODY_BYTES.
func environment(name string) cli.ValueSourceChain {
	return cli.EnvVars("ROSEMARYSPOOL_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

// readSettings reads and checks all settings. Its error holds every fault, not only the first.
func readSettings(command *cli.Command) (assembler.Settings, error) {
	c := &checker{command: command}
	settings := assembler.Settings{
		Instance:        identifier.InstanceID(c.required("instance")),
		DataCentre:      identifier.DataCentre(c.required("data-centre")),
		Environment:     identifier.Environment(c.required("environment")),
		Listen:          c.address("listen"),
		PeerListen:      c.address("peer-listen"),
		LogURL:          c.url("log-url"),
		ListURL:         c.url("list-url"),
		StoreURL:        c.url("store-url"),
		MaxBodyBytes:    c.positive("max-body-bytes"),
		BodyTimeout:     c.duration("body-timeout"),
		ShutdownDelay:   c.duration("shutdown-delay"),
		ShutdownTimeout: c.duration("shutdown-timeout"),
	}
	c.level("log-level")
	if len(c.faults) > 0 {
		return assembler.Settings{}, &SettingsError{Faults: c.faults}
	}
	return settings, nil
}

// checker reads settings and collects their faults.
type checker struct {
	command *cli.Command
	faults  []SettingFault
}

func (c *checker) addFault(code int, setting, message string) {
	c.faults = append(c.faults, SettingFault{Code: code, Setting: setting, Message: message})
}

func (c *checker) required(name string) string {
	value := c.command.String(name)
	if value == "" {
		c.addFault(codeMissing, name, "must be set by --"+name+" or its environment variable")
	}
	return value
}

func (c *checker) address(name string) string {
	value := c.required(name)
	if value == "" {
		return value
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.addFault(codeInvalid, name, "must be IP:PORT, such as 10.0.0.7:8080")
	}
	return value
}

func (c *checker) url(name string) string {
	value := c.required(name)
	if value == "" {
		return value
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.addFault(codeInvalid, name, "must be a URL, such as http://10.0.0.9:7000")
	}
	return strings.TrimSuffix(value, "/")
}

func (c *checker) positive(name string) int64 {
	value := c.command.Int64(name)
	if value <= 0 {
		c.addFault(codeInvalid, name, "must be above zero")
	}
	return value
}

func (c *checker) duration(name string) time.Duration {
	value := c.command.Duration(name)
	if value < 0 {
		c.addFault(codeInvalid, name, "must not be negative")
	}
	return value
}

func (c *checker) level(name string) {
	switch c.command.String(name) {
	case "debug", "info", "warn", "error":
	default:
		c.addFault(codeInvalid, name, "must be debug, info, warn or error")
	}
}
