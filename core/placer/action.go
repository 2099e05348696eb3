package placer

import "rosemaryspool.example/core/identifier"

// Action is something that the shell carries out for the placer.
type Action interface{ action() }

// DrainEngine stops new work for an engine on every instance.
type DrainEngine struct {
	Upstream identifier.UpstreamID
	Reason   string
}

// RestoreEngine lets an engine take work again.
type RestoreEngine struct {
	Upstream identifier.UpstreamID
	Reason   string
}

// OrderRole orders a drained engine into a role.
type OrderRole struct {
	Upstream identifier.UpstreamID
	Role     identifier.Role
	Reason   string
}

// OrderLoad orders a drained engine to load a model version.
type OrderLoad struct {
	Upstream identifier.UpstreamID
	Model    identifier.ModelName
	Version  identifier.ModelVersion
	Reason   string
}

// RequestPermit asks the weight store for one load.
type RequestPermit struct {
	Upstream identifier.UpstreamID
	Model    identifier.ModelName
	Version  identifier.ModelVersion
}

func (DrainEngine) action()   {}
func (RestoreEngine) action() {}
func (OrderRole) action()     {}
func (OrderLoad) action()     {}
func (RequestPermit) action() {}
