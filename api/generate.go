// Package api is generated from openapi.yaml: the interface of an entry host
// for callers and operators.
package api

//go:generate go tool ogen --target . --package api --config ogen.yml --clean openapi.yaml
