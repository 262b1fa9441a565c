// Package tools pins the linter in a separate module, so that programs that embed
// the library do not inherit its dependencies.
package tools
