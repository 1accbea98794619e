package retry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetrelay/limpetrelay/retry"
)

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var b retry.Budget
		firstAttempts, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "first") {
				b.Deposit()
				firstAttempts++
			} else if b.Withdraw() {
				retries++
			}
			require.LessOrEqual(rt, float64(retries), retry.DefaultReserve+retry.DefaultRatio*float64(firstAttempts)+1e-9)
		}
	})
}

func ExampleBackoff() {
	b := retry.Backoff{First: 100, Max: 500}
	fmt.Println(b.Next(0), b.Next(0), b.Next(0), b.Next(0))
	b.Reset()
	fmt.Println(b.Next(0))
	// Output:
	// 100 200 400 500
	// 100
}

func ExampleBudget() {
	b := retry.Budget{Ratio: 0.5, Reserve: 1}
	fmt.Println(b.Withdraw(), b.Withdraw())
	b.Deposit()
	b.Deposit()
	fmt.Println(b.Withdraw())
	// Output:
	// true false
	// true
}
