// Package verbenastand defines the domain types of the verbenastand load balancer
// and the interfaces that its components share. The components are in the
// packages below this one.
package verbenastand
