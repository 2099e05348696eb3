package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/standin/generator"
	"rosemaryspool.example/standin/sampler"
)

// startCommand runs a command in the background until the test ends. It waits for the line with part=COMMAND that the
// command prints when it is ready, and returns the values of that line.
func startCommand(t *testing.T, arguments ...string) map[string]string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := run(ctx, append([]string{"standin"}, arguments...), writer)
		_ = writer.CloseWithError(io.EOF)
		done <- err
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		values := map[string]string{}
		for _, field := range strings.Fields(lines.Text()) {
			name, value, _ := strings.Cut(field, "=")
			values[name] = value
		}
		if values["part"] == arguments[0] {
			return values
		}
	}
	require.NoError(t, <-done, "command ended before it printed its ready line")
	return nil
}

func TestServerCommandsRespondToRequests(t *testing.T) {
	list := startCommand(t, "list")["url"]
	cases := []struct {
		arguments []string
		path      string
	}{
		{[]string{"log", "--keep-records", "9"}, "/v1/streams/s/records?from=1&limit=1&waitMs=0"},
		{[]string{"list", "--faults", `{"lagMs":5}`}, "/v1/instances"},
		{[]string{"store"}, "/faults"},
		{[]string{"engine", "--id", "lume-1", "--data-centre", "palermo", "--list-url", list}, "/v1/report"},
		{[]string{"service", "--id", "registro-1", "--data-centre", "catania", "--list-url", list}, "/counts"},
	}
	for _, c := range cases {
		response, err := http.Get(startCommand(t, c.arguments...)["url"] + c.path)
		require.NoError(t, err, c.arguments)
		require.Equal(t, http.StatusOK, response.StatusCode, c.arguments)
		require.NoError(t, response.Body.Close())
	}
	members, err := lister.NewClient(list).Members(t.Context())
	require.NoError(t, err)
	require.Len(t, members, 2)
	require.Equal(t, []string{"lume-1", "palermo", "registro-1", "catania"},
		[]string{members[0].ID, string(members[0].DataCentre), members[1].ID, string(members[1].DataCentre)})
}

func TestHostCommandStartsAllStandIns(t *testing.T) {
	values := startCommand(t, "host", "--engines", "2", "--services", "1", "--data-centres", "messina,siracusa")
	members, err := lister.NewClient(values["listUrl"]).Members(t.Context())
	require.NoError(t, err)
	require.Len(t, members, 3)
	require.EqualValues(t, "siracusa", members[1].DataCentre)
	_, err = appender.NewClient(values["logUrl"]).Append(t.Context(), "s", [][]byte{{1}})
	require.NoError(t, err)
}

func TestHostCommandReadsConfigurationDocument(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kalipci.yaml")
	require.NoError(t, os.WriteFile(path, sampler.Kalipci(), 0o600))
	members, err := lister.NewClient(startCommand(t, "host", "--document", path)["listUrl"]).Members(t.Context())
	require.NoError(t, err)
	require.Len(t, members, 10, "7 engines and 3 service upstreams")
	err = run(t.Context(), []string{"standin", "host", "--document", path + ".missing", "--speed", "0"}, io.Discard)
	require.ErrorContains(t, err, "setting document:")
	require.ErrorContains(t, err, "setting speed:")
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	url := startCommand(t, "engine", "--faults", `{"breakStreams":2}`)["url"]
	get := func() generator.Faults {
		response, err := http.Get(url + "/faults")
		require.NoError(t, err)
		defer response.Body.Close()
		var faults generator.Faults
		require.NoError(t, json.NewDecoder(response.Body).Decode(&faults))
		return faults
	}
	require.Equal(t, generator.Faults{BreakStreams: 2}, get())
	cases := []struct {
		body   string
		status int
		want   generator.Faults
	}{
		{`{"slowness":3}`, http.StatusNoContent, generator.Faults{Slowness: 3}},
		{`{"slownes":4}`, http.StatusBadRequest, generator.Faults{Slowness: 3}},
	}
	for _, c := range cases {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+"/faults", strings.NewReader(c.body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, c.status, response.StatusCode, c.body)
		require.Equal(t, c.want, get(), c.body)
	}
}

func TestInvalidSettingsAreReportedTogether(t *testing.T) {
	cases := []struct {
		arguments []string
		settings  []string
	}{
		{
			[]string{"log", "--address", "host:1", "--appends-per-second", "0", "--keep-records", "0"},
			[]string{"address", "appends-per-second", "keep-records"},
		},
		{[]string{"store", "--burst", "0", "--faults", `{"x":1}`}, []string{"burst", "faults"}},
		{
			[]string{"engine", "--id", "", "--role", "both", "--speed", "-1", "--order-absence", "-1s"},
			[]string{"id", "role", "speed", "order-absence"},
		},
		{
			[]string{"load", "--deployment", "kalipçı", "--share", "0", "--concurrency", "0"},
			[]string{"deployment", "share", "concurrency", "targets"},
		},
		{[]string{"audit", "--keys", "0", "--class", ""}, []string{"keys", "class", "targets", "services"}},
		{[]string{"host", "--address", "here", "--engines", "-1"}, []string{"address", "engines"}},
	}
	for _, c := range cases {
		err := run(t.Context(), append([]string{"standin"}, c.arguments...), io.Discard)
		for _, s := range c.settings {
			require.ErrorContains(t, err, "setting "+s+":", c.arguments)
		}
	}
}
