package dispatch

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName returns the name of the task of member index in an attempt of job
// id.
func TaskName(id string, attempt, index int) string {
	return fmt.Sprintf("%s/%d/%d", id, attempt, index)
}

// parseTask returns the job ID and the attempt of a name that TaskName
// returned.
func parseTask(task string) (id string, attempt int, ok bool) {
	rest, _, ok := cutLast(task)
	if !ok {
		return "", 0, false
	}
	id, number, ok := cutLast(rest)
	if !ok {
		return "", 0, false
	}
	attempt, err := strconv.Atoi(number)
	return id, attempt, err == nil
}

// cutLast slices s around its last slash.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
