// Package cwstandin holds small stand-ins for what the gateway talks to: a model
// engine, a plain service, the platform and a network link that can fail. They
// serve tests and the demo and are not a simulator.
package cwstandin
