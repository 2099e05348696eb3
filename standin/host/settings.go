package host

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/generator"
	"rosemaryspool.example/standin/provider"
	"rosemaryspool.example/standin/recorder"
	"rosemaryspool.example/standin/registrar"
	"rosemaryspool.example/standin/storekeeper"
)

// Settings describes a complete set of stand-ins; zero values take the defaults.
type Settings struct {
	// Address is the IP address to listen on; empty means 127.0.0.1. The operating system chooses the ports.
	Address string
	// Speed is the number of simulated seconds in one second for engines that set none; zero means 1.
	Speed    float64
	Log      recorder.Settings
	List     registrar.Settings
	Store    storekeeper.Settings
	Engines  []Engine
	Services []Service
}

// Engine describes a model engine and its data centre.
type Engine struct {
	generator.Settings
	DataCentre identifier.DataCentre
}

// Service describes an upstream of a plain service and its data centre.
type Service struct {
	provider.Settings
	ID         identifier.UpstreamID
	DataCentre identifier.DataCentre
}
