package idempotency_test

import "flag"

// A fixed seed gives the same verdict every time; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
