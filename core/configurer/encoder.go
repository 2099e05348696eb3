package configurer

import (
	"encoding/json"
	"time"
)

// span is a duration that JSON encodes with its unit. Its name and those of the content types below occur in stored
// refusal reasons, because decoding errors name Go types.
type span time.Duration

// MarshalText encodes the duration with its unit, such as "1m30s".
func (s span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText decodes a duration with its unit.
func (s *span) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	*s = span(duration)
	return err
}

// plainClass is Class without its JSON methods.
type plainClass Class

type classContent struct {
	plainClass
	Deadline span `json:"deadline"`
}

// MarshalJSON encodes the class, its deadline with the unit.
func (c Class) MarshalJSON() ([]byte, error) {
	return json.Marshal(classContent{plainClass(c), span(c.Deadline)})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (c *Class) UnmarshalJSON(text []byte) error {
	var content classContent
	if err := json.Unmarshal(text, &content); err != nil {
		return err
	}
	*c = Class(content.plainClass)
	c.Deadline = time.Duration(content.Deadline)
	return nil
}

type placementContent struct {
	FixedRoles   bool `json:"fixedRoles"`
	MinimumDwell span `json:"minimumDwell"`
}

// MarshalJSON encodes the limits, the minimum dwell with its unit.
func (p Placement) MarshalJSON() ([]byte, error) {
	return json.Marshal(placementContent{p.FixedRoles, span(p.MinimumDwell)})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (p *Placement) UnmarshalJSON(text []byte) error {
	var content placementContent
	err := json.Unmarshal(text, &content)
	*p = Placement{FixedRoles: content.FixedRoles, MinimumDwell: time.Duration(content.MinimumDwell)}
	return err
}

type keysContent struct {
	Window span `json:"window"`
}

// MarshalJSON encodes the window with its unit.
func (k Keys) MarshalJSON() ([]byte, error) {
	return json.Marshal(keysContent{span(k.Window)})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (k *Keys) UnmarshalJSON(text []byte) error {
	var content keysContent
	err := json.Unmarshal(text, &content)
	*k = Keys{Window: time.Duration(content.Window)}
	return err
}
