package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/standin/server"
)

func TestListContract(t *testing.T) {
	engine := lister.Member{
		ID: "engine-1", Kind: lister.KindEngine, Address: "http://10.0.0.1:80", DataCentre: "palermo",
	}
	instance := lister.Member{
		ID: "entry-1", Kind: lister.KindInstance, Address: "http://10.0.0.2:80", PeerAddress: "10.0.0.2:90",
	}
	leaving := engine
	leaving.Leaving = true
	cases := []struct {
		name   string
		change func(l *List)
		want   []lister.Member
		fails  bool
	}{
		{"empty", func(*List) {}, []lister.Member{}, false},
		{"sorted by id", func(l *List) { l.Set(instance); l.Set(engine) }, []lister.Member{engine, instance}, false},
		{"leaving", func(l *List) { l.Set(engine); l.Set(leaving) }, []lister.Member{leaving}, false},
		{"removed", func(l *List) { l.Set(engine); l.Remove(engine.ID) }, []lister.Member{}, false},
		{"outage", func(l *List) { l.Set(engine); l.Switches.Set(Faults{Outage: true}) }, nil, true},
	}
	for _, c := range cases {
		list := NewList(Settings{})
		c.change(list)
		s, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: list.Handler()})
		require.NoError(t, err)
		implementations := []lister.List{list, lister.NewClient(s.URL())}
		for _, l := range implementations {
			members, err := l.Members(t.Context())
			require.Equal(t, c.want, members, c.name)
			require.Equal(t, c.fails, err != nil, c.name)
		}
		s.Close()
	}
}

func TestAnnounceAddsMember(t *testing.T) {
	list := NewList(Settings{})
	s, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: list.Handler()})
	require.NoError(t, err)
	defer s.Close()
	member := lister.Member{
		ID: "registro-1", Kind: lister.KindService, Address: "http://10.0.0.3:80", DataCentre: "catania",
	}
	require.NoError(t, Announce(t.Context(), s.URL(), member))
	members, err := list.Members(t.Context())
	require.NoError(t, err)
	require.Equal(t, []lister.Member{member}, members)
}

func TestChangesAreVisibleAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := NewList(Settings{Faults: Faults{LagMS: 2000}})
		list.Set(lister.Member{ID: "engine-1"})
		time.Sleep(1999 * time.Millisecond)
		members, err := list.Members(t.Context())
		require.NoError(t, err)
		require.Empty(t, members)
		time.Sleep(time.Millisecond)
		members, err = list.Members(t.Context())
		require.NoError(t, err)
		require.Len(t, members, 1)
	})
}
