// Package cwstandin implements small stand-ins for the gateway's dependencies: a model
// engine, a plain service, the platform with its store of published state, its workers,
// other instances and a network link that can fail. They serve tests and the demo.
// They do not simulate the performance of the real systems.
package cwstandin
