package cmd_test

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"savorygap.example/savorygap-node/cmd"
)

// update makes the test write the golden files anew: go test ./cmd -update
var update = flag.Bool("update", false, "write the golden files")

// TestCheckConfig_ReportAndExitCode guards against a fault that is not reported, and
// against an API key in the report. The reports are compared with golden files.
func TestCheckConfig_ReportAndExitCode(t *testing.T) {
	for golden, c := range map[string]struct {
		args []string
		code int
	}{
		"sound":            {[]string{"testdata/sound.json"}, 0},
		"sound-in-force":   {[]string{"testdata/sound.json", "--in-force", "testdata/in-force.json"}, 0},
		"unchanged":        {[]string{"testdata/in-force.json", "--in-force", "testdata/in-force.json"}, 0},
		"odd":              {[]string{"testdata/odd.json"}, 1},
		"odd-json":         {[]string{"--json", "testdata/odd.json"}, 1},
		"faulty-in-force":  {[]string{"--in-force", "testdata/in-force.json", "testdata/faulty.json"}, 2},
		"truncated":        {[]string{"testdata/truncated.json"}, 2},
		"in-force-invalid": {[]string{"testdata/sound.json", "--in-force", "testdata/truncated.json", "--json"}, 2},
	} {
		var stdout, stderr bytes.Buffer
		must.Eq(t, c.code, cmd.Execute(append([]string{"savorygap-node", "check-config"}, c.args...), &stdout, &stderr), must.Sprint(golden))
		must.Eq(t, "", stderr.String(), must.Sprint(golden))
		must.StrNotContains(t, stdout.String(), "key-")
		path := "testdata/" + golden + ".golden"
		if *update {
			must.NoError(t, os.WriteFile(path, stdout.Bytes(), 0o600))
		}
		want, err := os.ReadFile(path)
		must.NoError(t, err)
		must.Eq(t, string(want), stdout.String(), must.Sprint(golden))
	}
}

// TestCheckConfig_WithoutAReadableFileIsAnError guards against exit code 0 or 1 where
// nothing was checked.
func TestCheckConfig_WithoutAReadableFileIsAnError(t *testing.T) {
	for _, args := range [][]string{{}, {"testdata/none.json"}, {"testdata/sound.json", "testdata/odd.json"}, {"testdata/sound.json", "--in-force", "testdata/none.json"}} {
		var stdout, stderr bytes.Buffer
		must.Eq(t, 2, cmd.Execute(append([]string{"savorygap-node", "check-config"}, args...), &stdout, &stderr))
		must.Eq(t, "", stdout.String())
		must.NotEq(t, "", stderr.String())
	}
}
