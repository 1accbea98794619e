package queueconfig

// Caller is the sender of a request as one version of the configuration knows it. The zero value is
// one without an API key, or with a key that the version does not have.
type Caller struct {
	// Known is set if the version has the API key.
	Known bool
	// Organisation is that of the key. It is empty unless Known is set.
	Organisation string
}

// Caller returns the sender of a request with the given API key; empty for none.
func (c *Configuration) Caller(key string) Caller {
	org, known := c.Keys[key]
	return Caller{Known: known, Organisation: org}
}

// MayUse reports whether a caller may query a job, cancel it and repeat its submission. queue is the
// name of the queue that accepted the job, and owner the organisation whose key the submission had;
// empty if it had none. Both are facts of the job: the route of the request does not count.
//
//   - Every caller may use the jobs of a queue that is public in c.
//   - A job with an owner takes a key that is the owner's in c, also if its queue is not in c.
//   - A job without an owner was accepted by a public queue. If that queue is private in c, the job
//     takes any key that is in c: nobody could cancel it otherwise. If the queue is not in c, nothing
//     asks for a key.
func (c *Configuration) MayUse(caller Caller, queue, owner string) bool {
	r := c.Routes[queue]
	switch {
	case r != nil && r.Public:
		return true
	case owner != "":
		return caller.Known && caller.Organisation == owner
	}
	return r == nil || caller.Known
}

// Repeats reports whether a submission by a caller to the queue named target may be the repetition of
// one that queue has accepted for owner. A caller that may use a job may still submit another one
// under its ID: to another queue, and not for the owner.
func (c *Configuration) Repeats(caller Caller, target, queue, owner string) bool {
	return c.MayUse(caller, queue, owner) && (target == queue || caller.Organisation == owner)
}
