package placer

import "rosemaryspool.example/core/identifier"

// Action is a side effect that the caller of Handle carries out.
type Action interface{ action() }

// DrainEngine makes every instance stop sending new work to an engine.
type DrainEngine struct {
	Upstream identifier.UpstreamID
	Reason   string
}

// RestoreEngine makes every instance send work to an engine again.
type RestoreEngine struct {
	Upstream identifier.UpstreamID
	Reason   string
}

// OrderRole orders a drained engine to change its role.
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

// RequestPermit requests permission from the weight store to load a model version once.
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
