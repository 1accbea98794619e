package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// errNotAccepted means that a job that a case needs was not accepted.
var errNotAccepted = errors.New("a job was not accepted")

const (
	cancelBound  = 3000 * time.Millisecond
	visibleBound = 3000 * time.Millisecond
	revokeBound  = 5000 * time.Millisecond
	// slack is added to a bound for what the harness itself may take.
	slack = 500 * time.Millisecond
)

// success reports whether a status is that of a success.
func success(status int) bool { return status/100 == 2 }

// promptCancel cancels jobs right after they were accepted: UNASKED is broken if a subtask of one starts
// later than cancel_ms after the cancelling was acknowledged.
func promptCancel(log *record, trouble bool) (bool, error) {
	s, err := newSite(log, memoryMB, func(v int) map[string]any { return configuration(v, tenant("crew", "key-a")) })
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	pause := 10 * time.Millisecond
	if !trouble {
		pause = visibleBound + time.Second
	}
	const jobs, ms, steps = 6, 2500, 4
	type cancelled struct {
		id string
		at time.Time
	}
	results := make(chan cancelled, jobs)
	for i := range jobs {
		c := &client{site: s, host: s.hosts[i%len(s.hosts)], key: "key-a"}
		go func() {
			id := fmt.Sprintf("%016x", 0xa11000+i)
			if status, _ := c.call(http.MethodPost, "/private/"+id, job(ms, steps)); !success(status) {
				results <- cancelled{}
				return
			}
			time.Sleep(pause)
			status, _ := c.call(http.MethodDelete, "/private/"+id, nil)
			if !success(status) && status != http.StatusGone {
				results <- cancelled{}
				return
			}
			results <- cancelled{id, time.Now()}
		}()
		time.Sleep(150 * time.Millisecond)
	}
	var acked []cancelled
	for range jobs {
		r := <-results
		if r.id == "" {
			return false, errors.New("a job was not accepted, or its cancelling not acknowledged")
		}
		acked = append(acked, r)
	}
	time.Sleep(ms*steps*time.Millisecond + time.Second)
	broken := false
	for _, r := range acked {
		for _, x := range log.startsOf(r.id) {
			if late := x.at.Sub(r.at); late > cancelBound+slack {
				log.writef("UNASKED: %s started %d ms after the cancelling of its job was acknowledged", x.task, late.Milliseconds())
				broken = true
			}
		}
		(&client{site: s, host: s.hosts[0], key: "key-a"}).call(http.MethodGet, "/private/"+r.id, nil)
	}
	return broken, nil
}

// revokedKey takes a key away and then uses it for a call about a private queue's job that goes to a
// public queue: CONFIG is broken if that runs, later than revoke_timeout_ms after the confirmation.
func revokedKey(log *record, trouble bool) (bool, error) {
	s, err := newSite(log, memoryMB, func(v int) map[string]any {
		return configuration(v, tenant("crew", "key-a", "key-b"), tenant("guild", "key-c"))
	})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	const id = "00000000000b1200"
	holder := &client{site: s, host: s.hosts[0], key: "key-a"}
	revoked := &client{site: s, host: s.hosts[1], key: "key-b"}
	if status, _ := holder.call(http.MethodPost, "/private/"+id, job(60_000, 1)); !success(status) {
		return false, errNotAccepted
	}
	time.Sleep(visibleBound)
	if trouble {
		confirmed := s.publish(func(v int) map[string]any { return configuration(v, tenant("crew", "key-a"), tenant("guild", "key-c")) })
		time.Sleep(time.Until(confirmed.Add(revokeBound + time.Second)))
		if status, _ := revoked.call(http.MethodGet, "/private/"+id, nil); status != http.StatusUnauthorized {
			return false, errors.New("the key was not taken away")
		}
	}
	broken := false
	if status, text := revoked.call(http.MethodGet, "/public/"+id, nil); trouble && success(status) {
		log.writef("CONFIG: a call with a key that was taken away was told %s of a job of the tenant", text)
		broken = true
	}
	status, _ := revoked.call(http.MethodDelete, "/public/"+id, nil)
	time.Sleep(time.Second)
	if _, text := holder.call(http.MethodGet, "/private/"+id, nil); trouble && success(status) && strings.Contains(text, "cancelled") {
		log.writef("CONFIG: a call with a key that was taken away has cancelled a job of the tenant")
		broken = true
	}
	return broken, nil
}

// sharedID hands in jobs of two tenants whose clients have chosen the same ID, and then kills all
// processes: LOST is broken if a GET for a job that was accepted and not cancelled is answered
// 410 later than visible_ms after its confirmation.
func sharedID(log *record, trouble bool) (bool, error) {
	config := func(v int) map[string]any { return configuration(v, tenant("crew", "key-a"), tenant("guild", "key-c")) }
	s, err := newSite(log, memoryMB, config)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	const first = "0000000000000001"
	second := first
	if !trouble {
		second = "0000000000000002"
	}
	crew := &client{site: s, host: s.hosts[0], key: "key-a"}
	guild := &client{site: s, host: s.hosts[1], key: "key-c"}
	if status, _ := crew.call(http.MethodPost, "/private/"+first, job(6000, 3)); !success(status) {
		return false, errNotAccepted
	}
	time.Sleep(visibleBound + slack)
	status, _ := guild.call(http.MethodPost, "/private/"+second, job(5000, 3))
	if !success(status) {
		log.writef("the second job was refused, which is allowed")
		return false, nil
	}
	time.Sleep(visibleBound + slack)
	gone := func(c *client, id string) bool {
		status, _ := c.call(http.MethodGet, "/private/"+id, nil)
		if status == http.StatusGone {
			log.writef("LOST: job %s of the client with key %q was accepted and is not known", id, c.key)
		}
		return status == http.StatusGone
	}
	broken := gone(guild, second)
	broken = gone(crew, first) || broken
	if trouble {
		if err := s.killAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(16 * time.Second)
	for _, h := range s.hosts {
		crew.host, guild.host = h, h
		broken = gone(guild, second) || broken
		broken = gone(crew, first) || broken
	}
	return broken, nil
}
