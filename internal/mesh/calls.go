package mesh

// Calls are the requests that the run of a request causes at services, directly or through other calls:
// their expected number by service.
type Calls map[string]float64

// Add adds other calls, multiplied by a factor.
func (c Calls) Add(other Calls, factor float64) {
	for service, n := range other {
		c[service] += factor * n
	}
}
