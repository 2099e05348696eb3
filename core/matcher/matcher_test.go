package matcher

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func TestLongestPrefixOfHostMatches(t *testing.T) {
	table := NewTable(&Configuration{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:80", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "/x%2Fy/1", ""},
	} {
		route, found := table.Match(c.host, c.path)
		require.Equal(t, c.want != "", found, c.path)
		if found {
			require.Equal(t, c.want, route.Name)
		}
	}
}

func TestPickServiceByWeight(t *testing.T) {
	r := Route{Services: []WeightedService{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	count := map[identifier.ServiceName]int{}
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	require.Equal(t, map[identifier.ServiceName]int{"a": 900, "b": 100}, count)
}

func TestPickOtherSkipsExcludedAndUnweightedServices(t *testing.T) {
	r := &Route{Services: []WeightedService{{"a", 3}, {"b", 1}, {"c", 0}, {"d", 2}}}
	for _, c := range []struct {
		name     string
		excluded []identifier.ServiceName
		want     []identifier.ServiceName
	}{
		{"one full", []identifier.ServiceName{"a"}, []identifier.ServiceName{"b", "d"}},
		{"two full", []identifier.ServiceName{"a", "d"}, []identifier.ServiceName{"b"}},
		{"all full", []identifier.ServiceName{"a", "b", "d"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []identifier.ServiceName
			for i := range 100 {
				if service, found := r.PickOther(float64(i)/100, c.excluded); found && !slices.Contains(got, service) {
					got = append(got, service)
				}
			}
			require.Equal(t, c.want, got)
		})
	}
}
