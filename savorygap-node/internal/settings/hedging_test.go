package settings_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap-node/internal/settings"
)

// TestRead_HedgingOutOfRangeIsRejected guards against a share that lets every request be
// sent twice, and against hedges that are limited without a setting.
func TestRead_HedgingOutOfRangeIsRejected(t *testing.T) {
	tree, err := read(t, complete)
	must.NoError(t, err)
	must.Eq(t, 0.0, tree.HedgingShare())
	tree, err = read(t, complete+"hedging: {share: 0.02}\n")
	must.NoError(t, err)
	must.Eq(t, 0.02, tree.HedgingShare())
	must.Eq(t, 0.95, tree.HedgingQuantile())
	for _, text := range []string{"share: 1", "share: -0.1", "share: .nan", "share: 0.02, quantile: 1", "share: 0.02, quantile: -1", "share: .inf"} {
		_, err := read(t, complete+"hedging: {"+text+"}\n")
		var out *settings.RangeError
		must.True(t, errors.As(err, &out), must.Sprint(text))
	}
}
