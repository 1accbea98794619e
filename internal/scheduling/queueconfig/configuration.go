package queueconfig

import "strings"

// Route is a queue.
type Route struct {
	Name string
	// Host and Prefix select the route; Prefix begins and ends with a slash.
	Host, Prefix string
	// Service names the workers.
	Service  string
	Priority int
	// Attempts is at least 1.
	MaxAttempts int
	// Stretch and Slack (milliseconds) give a job's objective.
	Stretch float64
	Slack   int64
	// Timeout bounds the answer to a request, in milliseconds; 0 for no bound.
	Timeout int64
	// Public routes need no key.
	Public bool
	// Advised routes run only where the advisory service allows it.
	RequiresAdvice bool
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guarded workers refuse what does not fit; others must never be overfilled.
	RejectsOverload bool
	// Spare pools are switched off.
	Spare bool
	// HealthPath is where workers tell whether they are well; empty for nowhere.
	HealthPath string
}

// Organisation is a tenant with a guaranteed number of accelerators.
type Organisation struct {
	Name       string
	Guaranteed int64
}

// Limits bounds requests. Zero means no bound.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes.
	HeaderBytes, BodyBytes int
	// HeaderTimeout and IdleTimeout are in milliseconds.
	HeaderTimeout, IdleTimeout int64
}

// Configuration is one version of the whole configuration. It does not change
// once it is in use.
type Configuration struct {
	Version uint64
	Limits  Limits
	// Routes and Services are by name.
	Routes   map[string]*Route
	Services map[string]*Service
	// Organisations is by name, and Keys gives the organisation of each key.
	Organisations map[string]*Organisation
	Keys          map[string]string

	// byHost has the routes of each host, by prefix.
	byHost map[string]map[string]*Route
}

// Index prepares c for Find. It must be called once, before c is shared.
func (c *Configuration) Index() {
	c.byHost = make(map[string]map[string]*Route)
	for _, r := range c.Routes {
		m := c.byHost[r.Host]
		if m == nil {
			m = make(map[string]*Route)
			c.byHost[r.Host] = m
		}
		m[r.Prefix] = r
	}
}

// Find returns the route with the longest prefix of path on host, or nil.
func (c *Configuration) FindRoute(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	m := c.byHost[host]
	if m == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if r := m[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}
