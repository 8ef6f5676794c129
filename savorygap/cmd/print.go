package cmd

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
)

// printForm writes a response of the resource API as YAML or JSON.
func printForm(w io.Writer, format string, form any) error {
	switch format {
	case "json":
		return json.NewEncoder(w).Encode(form)
	case "yaml":
		text, err := yaml.Marshal(form)
		if err != nil {
			return err
		}
		_, err = w.Write(text)
		return err
	}
	return &usageError{message: fmt.Sprintf("unknown output format %q: use yaml, json or table", format)}
}
