package cmd

import (
	"errors"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygapd/internal/pipeline"
	"savorygap.example/savorygapd/internal/settings"
)

// options holds the flags of the commands that read a settings file.
type options struct {
	settingsFile string
}

func (o *options) flags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Usage: "path of the settings file (YAML)", Required: true,
		Sources: cli.EnvVars("SAVORYGAP_SETTINGS"), Destination: &o.settingsFile,
	}}
}

// load reads the settings file, fills in the defaults and checks the result.
func (o *options) load() (*settings.Tree, error) {
	tree, err := settings.Load(o.settingsFile)
	if err != nil {
		return nil, &settingsError{cause: err}
	}
	pipeline.Default(tree)
	if err := tree.Check(); err != nil {
		return nil, &settingsError{cause: err}
	}
	return tree, nil
}

// settingsError marks an error in the settings file, which has its own exit code.
type settingsError struct {
	cause error
}

// Error implements error.
func (e *settingsError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *settingsError) Unwrap() error { return e.cause }

func exitCode(err error) int {
	var settingsErr *settingsError
	if errors.As(err, &settingsErr) {
		return exitInvalid
	}
	return exitFailed
}
