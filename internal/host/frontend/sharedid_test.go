package frontend_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/host/frontend"
	"github.com/limpetrelay/limpetrelay/platform"
)

// Guards against two organisations that are both told that a job under the same ID is accepted, by two
// hosts at the same time, and against a job that the other one replaces in the store.
func TestSharedIDAtTwoHosts(t *testing.T) {
	s := newTestSystem(t)
	b, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "plans", "host": queue, "path_prefix": prefix, "service": "service", "max_attempts": 3, "timeout_ms": 3000}},
		"services": []map[string]any{{"name": "service", "rejects_overload": true}},
		"tenants":  []map[string]any{{"name": "crew", "keys": []string{key}}, {"name": "guild", "keys": []string{"key-c"}}},
	})
	require.NoError(t, err)
	s.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, b)
	one, _, stopOne := s.startHost("one")
	two, _, stopTwo := s.startHost("two")
	s.waitReady(one)
	s.waitReady(two)
	const ids = 20
	accepted := make(map[string][]string)
	for i := range ids {
		path := fmt.Sprintf("%s%016x", prefix, i)
		guild := make(chan frontend.Outcome, 1)
		go func() { guild <- serve(two, frontend.Submit, path, "key-c", 3*time.Second).Outcome }()
		if serve(one, frontend.Submit, path, key, 3*time.Second).Outcome == frontend.Recorded {
			accepted[path] = append(accepted[path], key)
		}
		if <-guild == frontend.Recorded {
			accepted[path] = append(accepted[path], "key-c")
		}
	}
	stopOne()
	stopTwo()
	late, _, _ := s.startHost("late")
	s.waitReady(late)
	for path, keys := range accepted {
		assert.Len(t, keys, 1, "%s was accepted for both", path)
		for _, k := range keys {
			assert.Equal(t, frontend.StateReported, serve(late, frontend.Query, path, k, time.Second).Outcome, "%s for %s", path, k)
		}
	}
}
