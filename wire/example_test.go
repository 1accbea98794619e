package wire_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/wire"
)

type question struct {
	N int `cbor:"n"`
}

func ExampleCall() {
	mux := http.NewServeMux()
	wire.Handle(mux, "/example/half", func(_ context.Context, q *question) (*question, error) {
		if q.N%2 != 0 {
			return nil, fault.New(fault.Refused, "an odd number", "send an even one")
		}
		return &question{N: q.N / 2}, nil
	})
	s := httptest.NewServer(mux)
	defer s.Close()
	half := wire.Call[question, question](wire.NewHTTPClient(nil), s.URL, "/example/half")
	a, err := half(context.Background(), &question{N: 8})
	fmt.Println(a.N, err)
	_, err = half(context.Background(), &question{N: 7})
	fmt.Println(err, fault.NothingDone(err))
	// Output:
	// 4 <nil>
	// an odd number; send an even one true
}
