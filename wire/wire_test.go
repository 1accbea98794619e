package wire_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/wire"
)

type ping struct{ N int }

func TestErrorsCrossTheWire(t *testing.T) {
	mux := http.NewServeMux()
	wire.Handle(mux, "/t/ping", func(_ context.Context, r *ping) (*ping, error) {
		if r.N < 0 {
			return nil, fault.New(fault.Refused, "negative", "send more")
		}
		return &ping{N: r.N + 1}, nil
	})
	s := httptest.NewServer(mux)
	defer s.Close()
	call := wire.Call[ping, ping](wire.NewHTTPClient(nil), s.URL, "/t/ping")
	r, err := call(t.Context(), &ping{N: 4})
	require.NoError(t, err)
	require.Equal(t, 5, r.N)
	_, err = call(t.Context(), &ping{N: -1})
	require.Equal(t, fault.Refused, fault.KindOf(err))
	require.Equal(t, "negative; send more", err.Error())
}

func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = wire.Call[ping, ping](wire.NewHTTPClient(nil), "http://"+a, "/t/ping")(t.Context(), &ping{})
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	require.True(t, fault.NothingDone(err))
	require.True(t, fault.IsConnectionRefused(err), "a refused connection proves that no process listens")
}

// TestSilentConnection checks that a call to a server that accepts the connection
// but never responds fails with Unknown, which does not prove that the call had no
// effect.
func TestSilentConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = wire.Call[ping, ping](wire.NewHTTPClient(nil), "http://"+l.Addr().String(), "/t/ping")(ctx, &ping{})
	require.Equal(t, fault.Unknown, fault.KindOf(err))
	require.False(t, fault.NothingDone(err))
	require.False(t, fault.IsConnectionRefused(err))
}

func FuzzDecode(f *testing.F) {
	b, err := wire.Encode(ping{N: 3})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var p ping
		_ = wire.Decode(b, &p)
	})
}
