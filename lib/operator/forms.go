package operator

import (
	"encoding/json"

	"savorygap.example/lib/wire"
)

// ChangeForm is the JSON form of a change.
type ChangeForm struct {
	ID       string            `json:"id"`
	Expected *uint64           `json:"expected,omitempty"`
	DryRun   bool              `json:"dryRun,omitempty"`
	Puts     []json.RawMessage `json:"puts,omitempty"`
	Deletes  []string          `json:"deletes,omitempty"`
}

// ResultForm is the response to a change.
type ResultForm struct {
	Revision uint64 `json:"revision" yaml:"revision"`
	DryRun   bool   `json:"dryRun,omitempty" yaml:"dryRun,omitempty"`
}

// ListForm is the response to a request for several resources.
type ListForm struct {
	Revision  uint64            `json:"revision"`
	Resources []json.RawMessage `json:"resources"`
}

// Problem is the body of an unsuccessful response.
type Problem struct {
	Error       string           `json:"error"`
	Code        string           `json:"code"`
	Resource    string           `json:"resource,omitempty"`
	Field       string           `json:"field,omitempty"`
	Expected    uint64           `json:"expected,omitempty"`
	Actual      uint64           `json:"actual,omitempty"`
	Differences []DifferenceForm `json:"differing,omitempty"`
}

// DifferenceForm is a field in which a change differs from the document in force.
type DifferenceForm struct {
	Resource string `json:"resource"`
	Field    string `json:"field"`
	Want     string `json:"want"`
	Have     string `json:"have"`
}

// EffectiveForm lists the effective rules of a branch with the origin of every
// value.
type EffectiveForm struct {
	Branch string              `json:"branch" yaml:"branch"`
	Rules  []EffectiveRuleForm `json:"rules" yaml:"rules"`
}

// EffectiveRuleForm is one effective rule.
type EffectiveRuleForm struct {
	Name   string               `json:"name" yaml:"name"`
	Values []EffectiveValueForm `json:"values" yaml:"values"`
}

// EffectiveValueForm is one setting of an effective rule.
type EffectiveValueForm struct {
	Field  string `json:"field" yaml:"field"`
	Value  string `json:"value" yaml:"value"`
	Origin string `json:"origin" yaml:"origin"`
}

// StatusForm is the rollout status of the newest revision: at how many nodes it
// is in force, and which nodes did not respond or are behind.
type StatusForm struct {
	Revision     uint64           `json:"revision" yaml:"revision"`
	Nodes        int              `json:"nodes" yaml:"nodes"`
	UpToDate     int              `json:"settled" yaml:"settled"`
	Unresponsive []string         `json:"silent,omitempty" yaml:"silent,omitempty"`
	Behind       []NodeForm       `json:"behind,omitempty" yaml:"behind,omitempty"`
	DataCentres  []DataCentreForm `json:"dataCentres" yaml:"dataCentres"`
}

// DataCentreForm is the rollout status of one data centre.
type DataCentreForm struct {
	Name         string `json:"name" yaml:"name"`
	OutOfService bool   `json:"out" yaml:"out"`
	Nodes        int    `json:"nodes" yaml:"nodes"`
	UpToDate     int    `json:"settled" yaml:"settled"`
	Servers      int    `json:"servers" yaml:"servers"`
}

// NodeForm is a node with the revision that is in force there.
type NodeForm struct {
	Name       string `json:"name" yaml:"name"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	Revision   uint64 `json:"revision" yaml:"revision"`
}

// AuditForm is the audit log, oldest operation first.
type AuditForm struct {
	Operations []wire.OperationForm `json:"operations" yaml:"operations"`
}
