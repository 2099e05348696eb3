// Package classifier finds the work class of a request in the current configuration.
package classifier

import (
	"fmt"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Classifier looks up classes, services, models and callers in one revision of the configuration. It is immutable.
type Classifier struct {
	Revision identifier.Revision
	Document *configurer.Document

	classes  map[identifier.ClassName]*configurer.Class
	services map[identifier.ServiceName]*configurer.Service
	models   map[identifier.ModelName]*configurer.Model
	callers  map[identifier.CallerID]*configurer.Caller
}

// Headers holds the caller and the class that a request names in its headers.
type Headers struct {
	Caller identifier.CallerID
	Class  identifier.ClassName
}

// NewClassifier returns a classifier that indexes a document.
func NewClassifier(revision identifier.Revision, document *configurer.Document) *Classifier {
	c := &Classifier{
		Revision: revision,
		Document: document,
		classes:  make(map[identifier.ClassName]*configurer.Class, len(document.Classes)),
		services: make(map[identifier.ServiceName]*configurer.Service, len(document.Services)),
		models:   make(map[identifier.ModelName]*configurer.Model, len(document.Models)),
		callers:  make(map[identifier.CallerID]*configurer.Caller, len(document.Callers)),
	}
	for i := range document.Classes {
		c.classes[document.Classes[i].Name] = &document.Classes[i]
	}
	for i := range document.Services {
		c.services[document.Services[i].Name] = &document.Services[i]
	}
	for i := range document.Models {
		c.models[document.Models[i].Name] = &document.Models[i]
	}
	for i := range document.Callers {
		c.callers[document.Callers[i].ID] = &document.Callers[i]
	}
	return c
}

// ClassifyPrompt returns the class of a model request. If model is not empty, it must be the model of the class.
func (c *Classifier) ClassifyPrompt(headers Headers, model identifier.ModelName) (*configurer.Class, *refuser.Refusal) {
	class, refusal := c.classify(headers)
	if refusal != nil {
		return nil, refusal
	}
	if class.Model == "" {
		message := fmt.Sprintf("class %q names a plain service; send it to /v1/services/%s", class.Name, class.Service)
		return nil, refuser.NewRefusal(refuser.UnknownModel, refuser.NotRun, message)
	}
	if model != "" && model != class.Model {
		message := fmt.Sprintf("class %q runs on model %q, not on %q", class.Name, class.Model, model)
		return nil, refuser.NewRefusal(refuser.UnknownModel, refuser.NotRun, message)
	}
	return class, nil
}

// ClassifyCall returns the class and the service of a call to a plain service. The class must belong to the service.
func (c *Classifier) ClassifyCall(
	headers Headers, name identifier.ServiceName,
) (*configurer.Class, *configurer.Service, *refuser.Refusal) {
	service, ok := c.services[name]
	if !ok {
		message := fmt.Sprintf("service %q is not configured", name)
		return nil, nil, refuser.NewRefusal(refuser.UnknownService, refuser.NotRun, message)
	}
	class, refusal := c.classify(headers)
	if refusal != nil {
		return nil, nil, refusal
	}
	if class.Service != name {
		message := fmt.Sprintf("class %q does not belong to service %q", class.Name, name)
		return nil, nil, refuser.NewRefusal(refuser.UnknownService, refuser.NotRun, message)
	}
	return class, service, nil
}

// FindCaller returns the entry of a caller, or the default entry if it has none; nil when neither is configured.
func (c *Classifier) FindCaller(id identifier.CallerID) *configurer.Caller {
	if caller, ok := c.callers[id]; ok {
		return caller
	}
	return c.callers[identifier.DefaultCaller]
}

// Models returns the configured models in document order.
func (c *Classifier) Models() []configurer.Model {
	return c.Document.Models
}

func (c *Classifier) classify(headers Headers) (*configurer.Class, *refuser.Refusal) {
	if headers.Caller == "" {
		return nil, refuser.NewRefusal(refuser.MissingCaller, refuser.NotRun, "the request names no caller")
	}
	if c.FindCaller(headers.Caller) == nil {
		message := fmt.Sprintf("caller %q is not configured and there is no default caller", headers.Caller)
		return nil, refuser.NewRefusal(refuser.UnknownCaller, refuser.NotRun, message)
	}
	class, ok := c.classes[headers.Class]
	if !ok {
		message := fmt.Sprintf("class %q is not configured", headers.Class)
		return nil, refuser.NewRefusal(refuser.UnknownClass, refuser.NotRun, message)
	}
	return class, nil
}
