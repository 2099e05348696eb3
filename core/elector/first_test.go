package elector

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFirstDependsOnLeavingOnly(t *testing.T) {
	electors := newSystem(20)
	order := electors[0].First(duty, 4)
	require.Equal(t, electors[1].Trusted(start, duty, 4), order)
	e := electors[0]
	e.Suspect(start, order[0].Instance)
	e.Heard(start, order[1].Instance, false, true)
	require.Equal(t, order[:3], e.First(duty, 3))
	e.Heard(start, order[0].Instance, true, false)
	require.Equal(t, order[1:4], e.First(duty, 3))
}
