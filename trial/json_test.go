package trial

import (
	"encoding/json"
	"io"
)

// base64JSON returns b as a JSON string in base64.
func base64JSON(b []byte) string {
	s, err := json.Marshal(b)
	if err != nil {
		return `""`
	}
	return string(s)
}

// decode reads one JSON value.
func decode(r io.Reader, v any) error { return json.NewDecoder(r).Decode(v) }
