package subscriber

import (
	"bytes"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/platform"
)

// rememberedConfigurations is the number of decoded configurations that are kept: the newest one, and another one that it
// is compared with.
const rememberedConfigurations = 2

// configurations decodes the records of the configuration. It remembers the latest ones, as each record is looked at
// several times and comes again in snapshots. It is not safe for concurrent use.
type configurations struct{ remembered []decodedConfiguration }

// decodedConfiguration is the configuration in a record, or the error of decoding it.
type decodedConfiguration struct {
	value         []byte
	configuration *matcher.Configuration
	err           error
}

// decode returns the configuration in a record.
func (c *configurations) decode(r platform.Record) (*matcher.Configuration, error) {
	if len(r.Value) == 0 {
		return nil, eris.New("subscriber: no configuration")
	}
	for _, d := range c.remembered {
		if bytes.Equal(d.value, r.Value) {
			return d.configuration, d.err
		}
	}
	d := decodedConfiguration{value: r.Value}
	d.configuration, d.err = platform.DecodeConfiguration(r.Value)
	if len(c.remembered) == rememberedConfigurations {
		c.remembered = c.remembered[1:]
	}
	c.remembered = append(c.remembered, d)
	return d.configuration, d.err
}

// outlasts reports whether a configuration is newer than another one, such as that in an older copy of the store. Others
// get it from the instances that know it until the operator writes again.
func (c *configurations) outlasts(newest, next platform.Record) bool {
	known, err := c.decode(newest)
	if err != nil {
		return false
	}
	inCopy, err := c.decode(next)
	return err != nil || inCopy.Version < known.Version
}
