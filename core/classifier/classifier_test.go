package classifier

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

func newDocument() *configurer.Document {
	return &configurer.Document{
		Models:   []configurer.Model{{Name: "m"}},
		Services: []configurer.Service{{Name: "s"}},
		Classes:  []configurer.Class{{Name: "check", Model: "m"}, {Name: "order", Service: "s"}},
		Callers:  []configurer.Caller{{ID: "c"}},
	}
}

func TestClassifyPrompt(t *testing.T) {
	cases := []struct {
		name    string
		headers Headers
		model   identifier.ModelName
		code    refuser.Code
	}{
		{"class names the model", Headers{"c", "check"}, "", 0},
		{"model matches the class", Headers{"c", "check"}, "m", 0},
		{"model differs from the class", Headers{"c", "check"}, "other", refuser.UnknownModel},
		{"class of a service", Headers{"c", "order"}, "", refuser.UnknownModel},
		{"unknown class", Headers{"c", "chek"}, "", refuser.UnknownClass},
		{"no caller", Headers{"", "check"}, "", refuser.MissingCaller},
		{"unknown caller", Headers{"x", "check"}, "", refuser.UnknownCaller},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			class, refusal := NewClassifier(1, newDocument()).ClassifyPrompt(c.headers, c.model)
			if c.code == 0 {
				require.Nil(t, refusal)
				require.Equal(t, c.headers.Class, class.Name)
				return
			}
			require.Equal(t, c.code, refusal.Code)
			require.Equal(t, refuser.NotRun, refusal.Effect)
		})
	}
}

func TestClassifyCall(t *testing.T) {
	cases := []struct {
		name    string
		class   identifier.ClassName
		service identifier.ServiceName
		code    refuser.Code
	}{
		{"class of the service", "order", "s", 0},
		{"unknown service", "order", "x", refuser.UnknownService},
		{"class of a model", "check", "s", refuser.UnknownService},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, refusal := NewClassifier(1, newDocument()).ClassifyCall(Headers{"c", c.class}, c.service)
			if c.code == 0 {
				require.Nil(t, refusal)
				return
			}
			require.Equal(t, c.code, refusal.Code)
		})
	}
}

func TestDefaultCaller(t *testing.T) {
	document := newDocument()
	document.Callers = append(document.Callers, configurer.Caller{ID: identifier.DefaultCaller, Burst: 3})
	require.Equal(t, 3, NewClassifier(1, document).FindCaller("unlisted").Burst)
}
