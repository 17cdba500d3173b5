package linter

// Collector holds findings, a limited number of each severity. One mistake may concern each of
// thousands of workspaces.
type Collector struct {
	// Limit is the number of findings of each severity that are kept.
	Limit    int
	Findings []Finding
	// Omitted is the number of findings that weren't kept.
	Omitted          int
	errors, warnings int
}

// Admit reports whether a finding of the severity is to be added. Otherwise it is counted.
func (c *Collector) Admit(s Severity) bool {
	n := &c.warnings
	if s == Error {
		n = &c.errors
	}
	if *n >= c.Limit {
		c.Omitted++
		return false
	}
	*n++
	return true
}
