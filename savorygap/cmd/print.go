package cmd

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
)

// printForm writes a form as YAML or JSON.
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
	return &usageError{message: fmt.Sprintf("output %q is unknown; yaml, json or table is wanted", format)}
}
