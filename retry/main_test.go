package retry_test

import (
	"os"
	"testing"

	"github.com/limpetrelay/limpetrelay/internal/testing/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Set("200")
	os.Exit(m.Run())
}
