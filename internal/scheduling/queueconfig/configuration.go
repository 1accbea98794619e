package queueconfig

import "strings"

// Route maps requests to a queue.
type Route struct {
	Name string
	// Host and Prefix are the host and the path prefix of the requests that match the
	// route; Prefix begins and ends with a slash.
	Host, Prefix string
	// Service names the pool of workers.
	Service  string
	Priority int
	// MaxAttempts is at least 1.
	MaxAttempts int
	// Stretch and Slack (in milliseconds) define a job's objective: Stretch times its
	// critical path, plus Slack.
	Stretch float64
	Slack   int64
	// Timeout is the longest time until a request is answered, in milliseconds; 0 for no
	// bound.
	Timeout int64
	// Public routes require no API key.
	Public bool
	// RequiresAdvice is set when jobs may only run on workers that the advisory service
	// allows.
	RequiresAdvice bool
}

// Service is a pool of workers.
type Service struct {
	Name string
	// RejectsOverload is set when the workers reject a start that does not fit. Other
	// workers must never be overloaded.
	RejectsOverload bool
	// Spare is set for a pool that is switched off.
	Spare bool
	// HealthPath is the path at which workers report their health; empty for none.
	HealthPath string
}

// Organisation is an organisation and its guaranteed number of accelerators.
type Organisation struct {
	Name       string
	Guaranteed int64
}

// Limits has the upper bounds of requests; 0 means no bound.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of the header and the body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout and IdleTimeout are in milliseconds.
	HeaderTimeout, IdleTimeout int64
}

// Configuration is one version of the whole configuration. It must not be modified once
// it is shared.
type Configuration struct {
	Version uint64
	Limits  Limits
	// Routes and Services are by name.
	Routes   map[string]*Route
	Services map[string]*Service
	// Organisations is by name. Keys maps each API key to the name of its organisation.
	Organisations map[string]*Organisation
	Keys          map[string]string

	// byHost has the routes by host, then by prefix.
	byHost map[string]map[string]*Route
}

// Index prepares c for FindRoute. It must be called once, before c is shared.
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

// FindRoute returns the route of host with the longest prefix of path, or nil. A port in
// host is ignored.
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
