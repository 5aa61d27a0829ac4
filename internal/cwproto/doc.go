// Package cwproto contains the generated code for the messages and calls between
// instances.
package cwproto

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
