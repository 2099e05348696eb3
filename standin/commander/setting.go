package commander

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/urfave/cli/v3"
)

// envPrefix is the prefix of every environment variable that standin reads.
const envPrefix = "STANDIN_"

// Names of settings that are used by several commands or in several places.
const (
	settingAddress    = "address"
	settingFaults     = "faults"
	settingID         = "id"
	settingDataCentre = "data-centre"
	settingListURL    = "list-url"
)

// envSource returns the environment variable of a setting: list-url is read from STANDIN_LIST_URL.
func envSource(name string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func floatFlag(name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func listFlag(name string, value []string, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

// serverFlags returns the flags shared by every command that listens on an address, followed by more.
func serverFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		stringFlag(settingAddress, "127.0.0.1:0", "IP address and port to listen on; port 0 lets the system choose"),
		stringFlag(settingFaults, "{}", "initial faults, in the JSON format of PUT /faults"),
	}, more...)
}

// upstreamFlags returns the flags of a command that registers an upstream with the instance list.
func upstreamFlags(id string) []cli.Flag {
	return []cli.Flag{
		stringFlag(settingID, id, "ID of the upstream"),
		stringFlag(settingDataCentre, "", "data centre of the upstream"),
		stringFlag(settingListURL, "", "base URL of the fake instance list to register the upstream with; empty for none"),
	}
}

// checker reads and validates settings. It collects the errors so that one run reports every invalid setting.
type checker struct {
	command *cli.Command
	errs    []error
}

// addError records that the named setting is invalid.
func (c *checker) addError(name, message string) {
	c.errs = append(c.errs, fmt.Errorf("setting %s: %s", name, message))
}

// err returns the collected errors joined, or nil if there are none.
func (c *checker) err() error { return errors.Join(c.errs...) }

// address returns the address to listen on and requires an IP address as its host.
func (c *checker) address() string {
	address := c.command.String(settingAddress)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		c.addError(settingAddress, err.Error())
	} else if net.ParseIP(host) == nil {
		c.addError(settingAddress, fmt.Sprintf("%q is not an IP address", host))
	}
	return address
}

// nonEmpty returns a string setting that must not be empty.
func (c *checker) nonEmpty(name string) string {
	value := c.command.String(name)
	if value == "" {
		c.addError(name, "must not be empty")
	}
	return value
}

// nonEmptyList returns a list setting that needs at least one value.
func (c *checker) nonEmptyList(name string) []string {
	values := c.command.StringSlice(name)
	if len(values) == 0 {
		c.addError(name, "must not be empty")
	}
	return values
}

// positive returns a number that must be above zero.
func (c *checker) positive(name string) float64 {
	value := c.command.Float(name)
	if value <= 0 {
		c.addError(name, "must be above 0")
	}
	return value
}

// count returns an integer that must be at least minimum.
func (c *checker) count(name string, minimum int) int {
	value := c.command.Int(name)
	if value < minimum {
		c.addError(name, fmt.Sprintf("must be at least %d", minimum))
	}
	return value
}

// decodeFaults decodes the JSON of the faults setting and rejects unknown keys.
func decodeFaults[T any](c *checker) T {
	var faults T
	decoder := json.NewDecoder(bytes.NewBufferString(c.command.String(settingFaults)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		c.addError(settingFaults, err.Error())
	}
	return faults
}
