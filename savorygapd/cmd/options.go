package cmd

import (
	"errors"

	"github.com/urfave/cli/v3"

	"savorygap.example/savorygapd/internal/pipeline"
	"savorygap.example/savorygapd/internal/settings"
)

// options are what every command that reads settings takes.
type options struct {
	file string
}

func (o *options) flags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Usage: "YAML file with the settings", Required: true,
		Sources: cli.EnvVars("SAVORYGAP_SETTINGS"), Destination: &o.file,
	}}
}

// load reads, fills and checks the settings.
func (o *options) load() (*settings.Tree, error) {
	tree, err := settings.Load(o.file)
	if err != nil {
		return nil, &settingsError{cause: err}
	}
	pipeline.Default(tree)
	if err := tree.Check(); err != nil {
		return nil, &settingsError{cause: err}
	}
	return tree, nil
}

// settingsError marks an error that the operator mends in the settings.
type settingsError struct {
	cause error
}

// Error implements error.
func (e *settingsError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *settingsError) Unwrap() error { return e.cause }

func codeOf(err error) int {
	var invalid *settingsError
	if errors.As(err, &invalid) {
		return exitInvalid
	}
	return exitFailed
}
