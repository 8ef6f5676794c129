package quota_test

import "flag"

// A fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261206") }
