package host

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/generator"
	"rosemaryspool.example/standin/provider"
	"rosemaryspool.example/standin/recorder"
	"rosemaryspool.example/standin/registrar"
	"rosemaryspool.example/standin/storekeeper"
)

// Settings describes a whole set of stand-ins; zero values take the defaults.
type Settings struct {
	// Address is the IP number to listen on; empty means loopback. The system chooses the ports.
	Address string
	// Speed is the number of model seconds in one second for engines that set none; zero means 1.
	Speed    float64
	Log      recorder.Settings
	List     registrar.Settings
	Store    storekeeper.Settings
	Engines  []Engine
	Services []Service
}

// Engine is one model engine with its data centre.
type Engine struct {
	generator.Settings
	DataCentre identifier.DataCentre
}

// Service is one upstream of a plain service with its data centre.
type Service struct {
	provider.Settings
	ID         identifier.UpstreamID
	DataCentre identifier.DataCentre
}
