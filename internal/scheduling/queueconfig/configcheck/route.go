package configcheck

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// checkRoutes reports what is wrong with each route.
func (c *checker) checkRoutes() {
	type target struct{ host, prefix string }
	first := make(map[target]int, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		at := func(f Field) Place { return Place{Kind: RouteEntry, Index: i, Field: f} }
		if c.conf.Services[r.Service] == nil {
			c.addf(Error, at(Service), "add the service, or correct the name", "there is no service %s, so that the route's jobs never start", quote(r.Service))
		}
		if j, ok := first[target{r.Host, r.Prefix}]; ok {
			c.addf(Error, at(Prefix), "change the host or the prefix of one of them, or remove it",
				"the host and the path prefix are also those of route %s; which of them matches is not defined", quote(c.Routes[j].Name))
		} else {
			first[target{r.Host, r.Prefix}] = i
		}
		c.checkPrefix(r, at(Prefix))
		c.checkHost(r, at(Host))
		c.checkTimes(r, i)
	}
}

// checkPrefix reports a prefix that is not well formed or that no path begins with.
func (c *checker) checkPrefix(r *queueconfig.Route, p Place) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.addf(Error, p, "write it as /plan/", "the path prefix %s does not begin and end with a slash", quote(r.Prefix))
		return
	}
	if strings.Contains(r.Prefix, "/./") || strings.Contains(r.Prefix, "/../") {
		c.addf(Warning, p, "remove the segments . and ..", "clients remove the segments . and .. of a path, so that none begins with %s", quote(r.Prefix))
	}
	if u, err := url.Parse("//h" + r.Prefix); err != nil || u.Path != r.Prefix {
		c.addf(Warning, p, "write the path decoded and without a query",
			"paths are compared decoded and without a query, so that none begins with %s", quote(r.Prefix))
	}
}

// checkHost reports a host that no request can name. Matching is exact, apart from the
// port, which is removed from a request's host.
func (c *checker) checkHost(r *queueconfig.Route, p Place) {
	const remedy = "write a name such as plan.example, without a port"
	switch {
	case r.Host == "":
		c.addf(Warning, p, remedy, "the host is empty, and requests name one, so that the route never matches")
	case isBracketedIP(r.Host):
		c.addf(Warning, p, "use a name, or have all callers give a port", "an IPv6 address as the host matches only requests that give a port")
	case r.Prefix != "" && !matches(r, r.Host):
		c.addf(Warning, p, remedy, "the host %s has a port or a colon, and a request's port is removed, so that the route never matches", quote(r.Host))
	case !isHostName(r.Host):
		c.addf(Warning, p, remedy, "no request can name the host %s, so that the route never matches", quote(r.Host))
	case strings.ToLower(r.Host) != r.Host:
		c.addf(Warning, p, "write it in lower case", "the host %s has upper-case letters; requests that name it in lower case do not match", quote(r.Host))
	}
}

// matches reports whether requests to host match r if nothing else does.
func matches(r *queueconfig.Route, host string) bool {
	c := queueconfig.Configuration{Routes: map[string]*queueconfig.Route{r.Name: r}}
	c.Index()
	return c.FindRoute(host, r.Prefix) != nil
}

// isBracketedIP reports whether host is an IPv6 address in brackets.
func isBracketedIP(host string) bool {
	inner, ok := strings.CutPrefix(host, "[")
	inner, closed := strings.CutSuffix(inner, "]")
	a, err := netip.ParseAddr(inner)
	return ok && closed && err == nil && a.Is6()
}

// isHostName reports whether a request can name host.
func isHostName(host string) bool {
	u, err := url.Parse("//" + host + "/")
	return err == nil && u.Host == host && u.User == nil && !strings.ContainsFunc(host, func(r rune) bool { return r > '~' })
}

// checkTimes reports an objective that no job can meet and a timeout that the idle timeout
// makes ineffective.
func (c *checker) checkTimes(r *queueconfig.Route, i int) {
	if r.Stretch < 1 && r.Slack == 0 {
		c.addf(Warning, Place{Kind: RouteEntry, Index: i, Field: Stretch}, "set the stretch to 1 or more, or add slack",
			"the objective is %g times a job's own run time and no slack, which no job can meet", r.Stretch)
	}
	if idle := c.Limits.IdleTimeout; idle > 0 && r.Timeout > idle {
		c.addf(Warning, Place{Kind: RouteEntry, Index: i, Field: Timeout}, "lower the timeout, or raise the idle timeout",
			"the timeout of %d ms is above the idle timeout of %d ms, after which a silent connection may be closed without an answer", r.Timeout, idle)
	}
}
