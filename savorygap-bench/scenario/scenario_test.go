package scenario_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"savorygap.example/savorygap-bench/scenario"
)

func TestScenarios(t *testing.T) {
	testscript.Run(t, scenario.Params("testdata"))
}
