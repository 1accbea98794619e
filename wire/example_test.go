package wire_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/wire"
)

type number struct {
	N int `cbor:"n"`
}

func ExampleCall() {
	mux := http.NewServeMux()
	wire.Handle(mux, "/example/half", func(_ context.Context, n *number) (*number, error) {
		if n.N%2 != 0 {
			return nil, fault.New(fault.Refused, "an odd number", "send an even one")
		}
		return &number{N: n.N / 2}, nil
	})
	s := httptest.NewServer(mux)
	defer s.Close()
	half := wire.Call[number, number](wire.NewHTTPClient(nil), s.URL, "/example/half")
	result, err := half(context.Background(), &number{N: 8})
	fmt.Println(result.N, err)
	_, err = half(context.Background(), &number{N: 7})
	fmt.Println(err, fault.NothingDone(err))
	// Output:
	// 4 <nil>
	// an odd number; send an even one true
}
