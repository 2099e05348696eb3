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

// envPrefix begins the name of every environment variable of the program.
const envPrefix = "STANDIN_"

// Names of settings that several commands share.
const (
	settingAddress    = "address"
	settingFaults     = "faults"
	settingID         = "id"
	settingDataCentre = "data-centre"
	settingListURL    = "list-url"
)

// source returns the environment variable of a setting.
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

// serverFlags returns the settings of every command that listens.
func serverFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		stringFlag(settingAddress, "127.0.0.1:0", "IP number and port to listen on; port 0 lets the system choose"),
		stringFlag(settingFaults, "{}", "fault switches at start, in the JSON form of PUT /faults"),
	}, more...)
}

// memberFlags returns the settings of an upstream that announces itself.
func upstreamFlags(id string) []cli.Flag {
	return []cli.Flag{
		stringFlag(settingID, id, "upstream id"),
		stringFlag(settingDataCentre, "", "data centre of the upstream"),
		stringFlag(settingListURL, "", "base URL of a stand-in list to announce the upstream to; empty for none"),
	}
}

// checker collects every fault of the settings, so that all are reported together.
type checker struct {
	command *cli.Command
	errs  []error
}

// fail records a fault of one setting.
func (c *checker) addError(name, message string) {
	c.errs = append(c.errs, fmt.Errorf("setting %s: %s", name, message))
}

// err returns all faults, or nil.
func (c *checker) err() error { return errors.Join(c.errs...) }

// address returns a listening address.
func (c *checker) address() string {
	address := c.command.String(settingAddress)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		c.addError(settingAddress, err.Error())
	} else if net.ParseIP(host) == nil {
		c.addError(settingAddress, fmt.Sprintf("%q is no IP number", host))
	}
	return address
}

// required returns a setting that may not be empty.
func (c *checker) nonEmpty(name string) string {
	value := c.command.String(name)
	if value == "" {
		c.addError(name, "may not be empty")
	}
	return value
}

// list returns a setting that needs at least one value.
func (c *checker) nonEmptyList(name string) []string {
	values := c.command.StringSlice(name)
	if len(values) == 0 {
		c.addError(name, "may not be empty")
	}
	return values
}

// positive returns a number above zero.
func (c *checker) positive(name string) float64 {
	value := c.command.Float(name)
	if value <= 0 {
		c.addError(name, "must be above 0")
	}
	return value
}

// count returns a whole number of at least a minimum.
func (c *checker) count(name string, minimum int) int {
	value := c.command.Int(name)
	if value < minimum {
		c.addError(name, fmt.Sprintf("must be at least %d", minimum))
	}
	return value
}

// decodeFaults reads the switches; unknown keys are refused.
func decodeFaults[T any](c *checker) T {
	var faults T
	decoder := json.NewDecoder(bytes.NewBufferString(c.command.String(settingFaults)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		c.addError(settingFaults, err.Error())
	}
	return faults
}
