//go:build race

package carrier

func init() { tenantsRuns = 1 }
