package trial

import (
	"encoding/json"
	"io"
)

// base64JSON returns b in base64 as a quoted JSON string.
func base64JSON(b []byte) string {
	s, err := json.Marshal(b)
	if err != nil {
		return `""`
	}
	return string(s)
}

// decode decodes one JSON value from r into v.
func decode(r io.Reader, v any) error { return json.NewDecoder(r).Decode(v) }
