package settings

import "fmt"

// defaultHedgingQuantile applies if only the share is set. At the usual share of 0.02, it
// has a hedge considered for one request in twenty.
const defaultHedgingQuantile = 0.95

// RangeError reports a setting whose value is out of its range.
type RangeError struct {
	setting string
	value   float64
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("setting %q must be from 0 to below 1, not %g", e.setting, e.value)
}

// Setting returns the name of the setting.
func (e *RangeError) Setting() string { return e.setting }

// HedgingShare returns the largest number of hedges for each request that this node sends
// to a service, 0 if only the retry budget limits them.
func (t *Tree) HedgingShare() float64 { return t.file.Hedging.Share }

// HedgingQuantile returns after which quantile of the latencies of its route a request is
// hedged.
func (t *Tree) HedgingQuantile() float64 {
	if t.file.Hedging.Quantile == 0 {
		return defaultHedgingQuantile
	}
	return t.file.Hedging.Quantile
}

func (t *Tree) checkHedging() error {
	for setting, value := range map[string]float64{"hedging.share": t.file.Hedging.Share, "hedging.quantile": t.file.Hedging.Quantile} {
		if !(value >= 0 && value < 1) {
			return &RangeError{setting: setting, value: value}
		}
	}
	return nil
}
