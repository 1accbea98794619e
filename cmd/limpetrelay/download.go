package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/limpetrelay/limpetrelay/fault"
)

// download writes the answer of one gang member to w and verifies its SHA-256
// against the Limpetrelay-Sum header. It calls only the first host. On a mismatch
// the data has already been written to w.
func (cl *client) download(ctx context.Context, w io.Writer, id string, member int) error {
	path := fmt.Sprintf("/v1/jobs/%s/answers/%d", url.PathEscape(id), member)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.hosts[0]+path, http.NoBody)
	if err != nil {
		return fault.Newf(fault.Invalid, "correct the address", "cannot create the request: %v", err)
	}
	res, err := cl.http.Do(r)
	if err != nil {
		return transportError(cl.hosts[0], err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		var f errorResponse
		if json.NewDecoder(res.Body).Decode(&f) != nil || f.Error == nil {
			return fault.Newf(fault.Unknown, "check that an entry host listens there", "the host returned status %s", res.Status)
		}
		return fault.New(f.Error.Kind, f.Error.Message, f.Error.Remedy)
	}
	sum := sha256.New()
	if _, err := io.Copy(io.MultiWriter(w, sum), res.Body); err != nil {
		return fault.Newf(fault.Unknown, "request the answer again", "the answer was truncated: %v", err)
	}
	if hex.EncodeToString(sum.Sum(nil)) != res.Header.Get("Limpetrelay-Sum") {
		return fault.New(fault.Unknown, "the answer does not match its SHA-256", "request the answer again")
	}
	return nil
}

// convertViaJSON copies v into t by encoding and decoding it as JSON, which matches
// field names case-insensitively.
func convertViaJSON(v, t any) {
	if b, err := json.Marshal(v); err == nil {
		_ = json.Unmarshal(b, t)
	}
}
