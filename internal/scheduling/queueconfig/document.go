package queueconfig

// Document is a version of the configuration as written: entries in order, duplicates
// included. The zero value is an empty configuration.
type Document struct {
	Version       uint64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []KeyedOrganisation
}

// KeyedOrganisation is an organisation with its API keys in order.
type KeyedOrganisation struct {
	Organisation
	Keys []string
}

// Configuration returns the configuration that d describes, prepared for FindRoute. Of
// entries with the same name, and of organisations with the same key, the last one counts.
func (d *Document) Configuration() *Configuration {
	c := &Configuration{
		Version: d.Version, Limits: d.Limits,
		Routes: make(map[string]*Route, len(d.Routes)), Services: make(map[string]*Service, len(d.Services)),
		Organisations: make(map[string]*Organisation, len(d.Organisations)), Keys: make(map[string]string),
	}
	for _, r := range d.Routes {
		c.Routes[r.Name] = &r
	}
	for _, s := range d.Services {
		c.Services[s.Name] = &s
	}
	for i := range d.Organisations {
		o := d.Organisations[i].Organisation
		c.Organisations[o.Name] = &o
		for _, k := range d.Organisations[i].Keys {
			c.Keys[k] = o.Name
		}
	}
	c.Index()
	return c
}
