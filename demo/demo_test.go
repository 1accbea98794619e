package demo

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRun runs the whole demo and requires that no invariant is broken.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	r, err := Run(t.Context(), &out)
	require.NoError(t, err, "%s", out.String())
	require.Zero(t, r.Broken, "%s", out.String())
	require.NotZero(t, r.Checked)
	require.Contains(t, out.String(), "0 broken")
}
