package configurer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDangers(t *testing.T) {
	engine := "  - {id: prova-2, dataCentre: marmara-b, model: prova-llm, role: decode}\nservices:"
	oldText := strings.Replace(validText, "services:", engine, 1)
	cases := []struct {
		name     string
		old, new string
		dangers  []string
	}{
		{"no change", "message", "message", nil},
		{"class removed", oldText[strings.Index(oldText, "  - name: fabricOrder"):strings.Index(oldText, "callers:")], "", []string{"classRemoved:fabricOrder"}},
		{"engine removed", engine, "services:", []string{"engineRemoved:prova-2"}},
		{"role changed", "role: decode", "role: mixed", []string{"engineRoleChanged:prova-2"}},
		{"token check claimed", "role: decode}", "role: decode, checksTokens: true}", []string{"tokenCheckClaimed:prova-2"}},
		{"version changed", "version: 1.10", "version: 1.11", []string{"modelVersionChanged:prova-llm"}},
		{"adapters changed", "[tr, en]", "[tr]", []string{"adaptersChanged:prova-llm"}},
		{"upstream removed", "[atolye-2, atolye-1]", "[atolye-1]", []string{"upstreamRemoved:atolye-2"}},
		{"not-run status added", "[503]", "[503, 500]", []string{"notRunStatusAdded:atolye-app/500"}},
		{"shorter deadline", "deadline: 8s", "deadline: 7s", []string{"deadlineShortened:fittingVerdict"}},
		{"longer deadline", "deadline: 8s", "deadline: 9s", nil},
		{"idempotency changed", "idempotent: false", "idempotent: true", []string{"idempotencyChanged:fabricOrder"}},
		{"several dangers", "priority: 90\n    urgent: true", "priority: 9", []string{"priorityLowered:fittingVerdict", "urgencyRemoved:fittingVerdict"}},
		{"lower maximum output", "maxOutput: 16", "maxOutput: 8", []string{"maxOutputLowered:fittingVerdict"}},
		{"caller removed", "id: terzi-ada", "id: terzi-eda", []string{"callersRemoved:1"}},
		{"lower limit", "Second: 2.5", "Second: 2", []string{"callerLimitsLowered:1"}},
		{"limit removed", "Second: 2.5", "Second: 0", nil},
		{"shorter key window", "window: 2h", "window: 90m", []string{"keyWindowShortened:1h30m0s"}},
		{"roles fixed", "keys:", "placement:\n  fixedRoles: true\nkeys:", []string{"rolesFixed:placement"}},
	}
	oldDocument := parseConfiguration(t, oldText).Document()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var names []string
			for _, d := range Dangers(oldDocument, parseConfiguration(t, strings.Replace(oldText, c.old, c.new, 1)).Document()) {
				require.NotEmpty(t, d.Cost)
				names = append(names, d.Name)
			}
			require.Equal(t, c.dangers, names)
		})
	}
}

func TestDangersCost(t *testing.T) {
	old := parseConfiguration(t, textWithCallers(9)).Document()
	next := parseConfiguration(t, textWithCallers(2)).Document()
	require.Equal(t, []Danger{{
		Name: "callersRemoved:7",
		Cost: "caller-00002, caller-00003, caller-00004, caller-00005, caller-00006, 2 more fall under the limits of the default caller, or are refused without one",
	}}, Dangers(old, next))
	require.Empty(t, Dangers(nil, next))
	require.Empty(t, Unaccepted(Dangers(old, next), []string{"callersRemoved:7"}))
	require.Len(t, Unaccepted(Dangers(old, next), []string{fmt.Sprint("callersRemoved:", 6)}), 1)
}
