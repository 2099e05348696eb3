package configurer

import (
	"encoding/json"
	"time"
)

// span is a duration that is written with its unit in JSON.
type span time.Duration

// MarshalText writes the duration with its unit.
func (s span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText reads a duration with its unit.
func (s *span) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	*s = span(duration)
	return err
}

type plainClass Class

type classContent struct {
	plainClass
	Deadline span `json:"deadline"`
}

// MarshalJSON writes the class with its deadline's unit.
func (c Class) MarshalJSON() ([]byte, error) {
	return json.Marshal(classContent{plainClass(c), span(c.Deadline)})
}

// UnmarshalJSON reads what MarshalJSON wrote.
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

// MarshalJSON writes the bounds with their units.
func (p Placement) MarshalJSON() ([]byte, error) {
	return json.Marshal(placementContent{p.FixedRoles, span(p.MinimumDwell)})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (p *Placement) UnmarshalJSON(text []byte) error {
	var content placementContent
	err := json.Unmarshal(text, &content)
	*p = Placement{FixedRoles: content.FixedRoles, MinimumDwell: time.Duration(content.MinimumDwell)}
	return err
}

type keysContent struct {
	Window span `json:"window"`
}

// MarshalJSON writes the window with its unit.
func (k Keys) MarshalJSON() ([]byte, error) {
	return json.Marshal(keysContent{span(k.Window)})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (k *Keys) UnmarshalJSON(text []byte) error {
	var content keysContent
	err := json.Unmarshal(text, &content)
	*k = Keys{Window: time.Duration(content.Window)}
	return err
}
