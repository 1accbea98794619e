package httpserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/fault"
)

const (
	// firstBodyBytes is the first size of a body's buffer: most bodies fit, and it is part of
	// requestBytes.
	firstBodyBytes = 2 << 10
	// maxDecodes is the number of bodies that are decoded at once. A decode takes about 1 ms.
	maxDecodes = 4
)

// decodes holds an element for each body that is being decoded.
var decodes = make(chan struct{}, maxDecodes)

// ReadBody reads the body of a request, which may have up to limit bytes. It charges the memory
// for it as the bytes arrive, whatever length the header states. The error has the kind
// fault.TooLarge, fault.Invalid, or fault.Overloaded if the budget is exhausted or the
// connection was closed; the request must then have no effect.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		w.Header().Set("Connection", "close")
		return nil, tooLargeError(limit)
	}
	b, err := readBody(r.Context(), http.MaxBytesReader(w, r.Body, int64(limit)), limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil || fault.KindOf(err) == fault.Overloaded || fault.KindOf(err) == fault.TooLarge:
		return b, err
	case errors.As(err, &tooLarge):
		return nil, tooLargeError(limit)
	case errors.Is(err, net.ErrClosed):
		return nil, closedError()
	}
	return nil, fault.Newf(fault.Invalid, "send the whole body", "the body cannot be read: %v", err)
}

// readBody reads r up to its end. Its buffer grows with what has arrived, up to one byte more
// than limit.
func readBody(ctx context.Context, r io.Reader, limit int) ([]byte, error) {
	b := make([]byte, 0, firstBodyBytes)
	for {
		if len(b) == cap(b) {
			more := max(1, min(cap(b), limit+1-cap(b)))
			if err := Reserve(ctx, int64(more)); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, cap(b)+more), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// DecodeBody reads a body like ReadBody and calls decode with it, for at most maxDecodes bodies
// at once. need returns the memory for decoding a body of n bytes, which is charged meanwhile.
// decode returns the memory of its result, which replaces that of the body until the handler
// returns. Beside the errors of ReadBody, DecodeBody returns those of decode.
func DecodeBody(w http.ResponseWriter, r *http.Request, limit int, need func(n int) int64, decode func([]byte) (int64, error)) error {
	ctx := r.Context()
	if n := r.ContentLength; n > 0 && n <= int64(limit) {
		// A body that can never be decoded is refused before it is read.
		if err := checkFits(ctx, n+need(int(n))); err != nil {
			w.Header().Set("Connection", "close")
			return err
		}
	}
	b, err := ReadBody(w, r, limit)
	if err != nil {
		return err
	}
	select {
	case decodes <- struct{}{}:
		defer func() { <-decodes }()
	case <-ctx.Done():
		return closedError()
	}
	charged := need(len(b))
	if err := Reserve(ctx, charged); err != nil {
		return err
	}
	kept, err := decode(b)
	if err != nil {
		return err
	}
	return Reserve(ctx, kept-charged-int64(cap(b)-firstBodyBytes))
}

// BufferBody returns a handler that reads the body of each request before it calls next. A body
// of more than limit bytes is refused with 413.
func BufferBody(limit int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := ReadBody(w, r, limit)
		if err != nil {
			status := map[fault.Kind]int{fault.TooLarge: http.StatusRequestEntityTooLarge, fault.Overloaded: http.StatusServiceUnavailable}[fault.KindOf(err)]
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), max(status, http.StatusBadRequest))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		next.ServeHTTP(w, r)
	})
}

func tooLargeError(limit int) error {
	return fault.Newf(fault.TooLarge, "send a smaller body", "the body exceeds %d bytes", limit)
}

func closedError() error {
	return fault.New(fault.Overloaded, "the connection was closed before the request was complete", "send the request again")
}
