package configurer

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

const validText = `formatVersion: 1
environment: trial
models:
  - name: prova-llm
    version: 1.10
    adapters: [tr, en]
engines:
  - id: prova-1
    dataCentre: marmara-a
    model: prova-llm
    checksTokens: true
services:
  - name: atolye-app
    upstreams: [atolye-2, atolye-1]
    notRunStatuses: [503]
classes:
  - name: fittingVerdict
    model: prova-llm
    priority: 90
    urgent: true
    deadline: 8s
    idempotent: true
    expectedOutput: 2
    maxOutput: 16
  - name: fabricOrder
    service: atolye-app
    priority: 60
    deadline: 20s
    idempotent: false
callers:
  - id: terzi-ada
    requestsPerSecond: 2.5
keys:
  window: 2h
`

func TestParseCompleteDocument(t *testing.T) {
	document, err := Parse("trial.yaml", []byte(validText))
	require.NoError(t, err)
	require.Equal(t, &Document{
		FormatVersion: 1,
		Environment:   "trial",
		Models:        []Model{{Name: "prova-llm", Version: "1.10", Adapters: []string{"en", "tr"}}},
		Engines: []Engine{
			{ID: "prova-1", DataCentre: "marmara-a", Model: "prova-llm", Role: identifier.RoleMixed, ChecksTokens: true},
		},
		Services: []Service{
			{Name: "atolye-app", Upstreams: []identifier.UpstreamID{"atolye-1", "atolye-2"}, NotRunStatuses: []int{503}},
		},
		Classes: []Class{
			{Name: "fabricOrder", Service: "atolye-app", Priority: 60, Deadline: 20 * time.Second},
			{
				Name: "fittingVerdict", Model: "prova-llm", Priority: 90, Urgent: true, Deadline: 8 * time.Second,
				Idempotent: true, ExpectedOutput: 2, MaxOutput: 16,
			},
		},
		Callers:   []Caller{{ID: "terzi-ada", RequestsPerSecond: 2.5, Burst: 3}},
		Placement: Placement{MinimumDwell: DefaultMinimumDwell},
		Keys:      Keys{Window: 2 * time.Hour},
	}, document)
}

// expectedFault is the part of a fault that the tests check.
type expectedFault struct {
	code         refuser.Code
	line, column int
	suggestion   string
}

func TestParseFaults(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		faults   []expectedFault
	}{
		{"unknown key", "deadline: 8s", "deadlin: 8s", []expectedFault{{UnknownKey, 21, 5, `did you mean "deadline"?`}}},
		{"unknown top key", "models:", "modles:", []expectedFault{{UnknownKey, 3, 1, `did you mean "models"?`}}},
		{"duplicate key", "urgent: true", "urgent: true\n    urgent: false", []expectedFault{{DuplicateKey, 21, 5, "keep one of them"}}},
		{"duration without unit", "deadline: 8s", "deadline: 8", []expectedFault{{BadDuration, 21, 15, "write the unit, such as 8s"}}},
		{"invalid duration", "deadline: 8s", "deadline: soon", []expectedFault{{BadDuration, 21, 15, "write a number with its unit: ms, s, m or h, such as 2s or 1m30s"}}},
		{"zero deadline", "deadline: 8s", "deadline: 0s", []expectedFault{{OutOfRange, 21, 15, "write a duration from 10ms to 1h0m0s"}}},
		{"missing deadline", "    deadline: 8s\n", "", []expectedFault{{MissingValue, 17, 5, ""}}},
		{"not idempotent and no service", "idempotent: true", "idempotent: false", []expectedFault{{Contradiction, 22, 17, "a class that is not idempotent names a service"}}},
		{"missing idempotent", "    idempotent: false\n", "", []expectedFault{{MissingValue, 25, 5, ""}}},
		{"invalid boolean", "urgent: true", "urgent: yes", []expectedFault{{BadValue, 20, 13, ""}}},
		{"unknown model", "    model: prova-llm\n    checks", "    model: prova-lm\n    checks", []expectedFault{{UnknownReference, 10, 12, `did you mean "prova-llm"?`}, {NotServed, 18, 12, "give it a mixed engine, or a prefill and a decode engine"}}},
		{"unknown service", "service: atolye-app", "service: atolye", []expectedFault{{UnknownReference, 26, 14, "known: atolye-app"}}},
		{"unknown role", "checksTokens: true", "role: mixt", []expectedFault{{UnknownReference, 11, 11, `did you mean "mixed"?`}}},
		{"prefill engine only", "checksTokens: true", "role: prefill", []expectedFault{{NotServed, 18, 12, "give it a mixed engine, or a prefill and a decode engine"}}},
		{"duplicate upstream", "[atolye-2, atolye-1]", "[prova-1, atolye-1]", []expectedFault{{DuplicateName, 14, 16, "keep one of them or rename one"}}},
		{"duplicate class", "name: fabricOrder", "name: fittingVerdict", []expectedFault{{DuplicateName, 25, 11, "keep one of them or rename one"}}},
		{"priority out of range", "priority: 90", "priority: 101", []expectedFault{{OutOfRange, 19, 15, "write a number from 0 to 100"}}},
		{"infinite rate", "requestsPerSecond: 2.5", "requestsPerSecond: .inf", []expectedFault{{BadValue, 32, 24, ""}}},
		{"slash in a name", "id: terzi-ada", "id: terzi/ada", []expectedFault{{BadName, 31, 9, "use letters, digits, and - _ . : @ +"}}},
		{"newer format version", "formatVersion: 1", "formatVersion: 2", []expectedFault{{UnknownFormatVersion, 1, 16, "write 1, or use a newer program"}}},
		{"anchor", "environment: trial", "environment: &e trial", []expectedFault{{BadSyntax, 2, 14, "write the value out"}}},
		{"two documents", "keys:\n  window: 2h", "---\nkeys:\n  window: 2h", []expectedFault{{BadSyntax, 34, 5, "write one document for each environment, each in its own file"}}},
		{"empty value", "window: 2h", "window:", []expectedFault{{MissingValue, 34, 11, "write a duration with its unit, such as 2s or leave the key out"}}},
		{"tab indentation", "  window: 2h", "\twindow: 2h", []expectedFault{{BadSyntax, 34, 1, ""}}},
		{"excessive nesting", "[tr, en]", strings.Repeat("[", 17), []expectedFault{{TooLarge, 6, 31, ""}}},
		{
			"several faults", "    priority: 90\n    urgent: true\n    deadline: 8s", "    prioritty: 90\n    urgent: 3\n    deadline: 8",
			[]expectedFault{{UnknownKey, 19, 5, `did you mean "priority"?`}, {BadValue, 20, 13, ""}, {BadDuration, 21, 15, "write the unit, such as 8s"}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, validText, c.old)
			_, err := Parse("trial.yaml", []byte(strings.Replace(validText, c.old, c.new, 1)))
			var list *FaultList
			require.ErrorAs(t, err, &list)
			var found []expectedFault
			for _, f := range list.Faults {
				found = append(found, expectedFault{f.Code, f.Line, f.Column, f.Suggestion})
			}
			require.Equal(t, c.faults, found, err.Error())
		})
	}
}

func TestParseReportsLocationAndCode(t *testing.T) {
	_, err := Parse("trial.yaml", []byte(strings.Replace(validText, "deadline: 8s", "deadline: 8", 1)))
	require.EqualError(t, err,
		`trial.yaml:21:15: classes[0].deadline: "8" is not a duration; write the unit, such as 8s (code 5006)`)
}

func TestParseRejectsTooLargeText(t *testing.T) {
	_, err := Parse("trial.yaml", make([]byte, MaxTextBytes+1))
	require.ErrorContains(t, err, fmt.Sprintf("code %d", TooLarge))
}

func TestCallerLimits(t *testing.T) {
	document, err := Parse("trial.yaml", []byte(validText))
	require.NoError(t, err)
	_, known := document.Caller("terzi-eda")
	require.False(t, known)
	document, err = Parse("trial.yaml", []byte(strings.Replace(validText, "callers:", "callers:\n  - {id: default, requestsPerSecond: 1, burst: 4}", 1)))
	require.NoError(t, err)
	caller, known := document.Caller("terzi-eda")
	require.True(t, known)
	require.Equal(t, Caller{ID: "terzi-eda", RequestsPerSecond: 1, Burst: 4}, caller)
	caller, _ = document.Caller("terzi-ada")
	require.Equal(t, 3, caller.Burst)
}

// FuzzParse checks that no text makes Parse panic and that an accepted document survives encoding to sections and
// compiling them.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validText))
	for _, name := range []string{"testdata/documents/flow.yaml", "testdata/documents/strange.yaml"} {
		text, err := os.ReadFile(name)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Parse("fuzz", text)
		if err != nil {
			var list *FaultList
			require.ErrorAs(t, err, &list)
			require.NotEmpty(t, list.Faults)
			return
		}
		sections, err := document.Sections()
		require.NoError(t, err)
		compiled, err := Compile(sections)
		require.NoError(t, err)
		require.Equal(t, document, compiled)
	})
}
