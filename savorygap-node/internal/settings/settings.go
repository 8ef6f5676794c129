// Package settings reads the settings file of a node.
//
// Unknown settings are rejected. A Tree holds the settings; each step of the
// pipeline fills in its own defaults.
//
// # Usage
//
//	tree, err := settings.Read("/etc/savorygap/settings.yaml")
//	tree.CallersAddress()
package settings

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// file is the encoding of the settings file.
type file struct {
	Host            string     `yaml:"host"`
	IP              string     `yaml:"ip"`
	DataCentre      string     `yaml:"dataCentre"`
	Region          string     `yaml:"region"`
	Service         string     `yaml:"service"`
	Server          string     `yaml:"server"`
	MemoryMegabytes int64      `yaml:"memoryMegabytes"`
	LinkMegabits    float64    `yaml:"linkMegabits"` // per second
	Listen          fileListen `yaml:"listen"`
	Store           fileStore  `yaml:"store"`
	Retries         fileRetry  `yaml:"retries"`
	Drain           fileDrain  `yaml:"drain"`
	// Sections that are missing turn off what they set.
	DataCentres fileDataCentres `yaml:"dataCentres"`
	Quota       *fileQuota      `yaml:"quota,omitempty"`
	Admission   fileAdmission   `yaml:"admission"`

	Rollout *fileRollout `yaml:"rollout,omitempty"`
	Hedging fileHedge    `yaml:"hedging,omitempty"`
}

type fileListen struct {
	Callers       string `yaml:"callers"`
	Links         string `yaml:"links"`
	Advertised    string `yaml:"advertised"`
	Ready         string `yaml:"ready"`
	Announcements string `yaml:"announcements"`
	Metrics       string `yaml:"metrics"`
}

type fileStore struct {
	Address string `yaml:"address"`
}

type fileRetry struct {
	Ratio   float64       `yaml:"ratio"`
	Minimum float64       `yaml:"least"`
	Window  time.Duration `yaml:"window"`
}

type fileDrain struct {
	Grace time.Duration `yaml:"grace"`
}

type fileDataCentres struct {
	FarRoundTrip time.Duration `yaml:"farRoundTrip"`
}

type fileAdmission struct {
	Downstream bool `yaml:"downstream"`
}

type fileHedge struct {
	Share    float64 `yaml:"share"`
	Quantile float64 `yaml:"quantile"`
}

// Tree holds the settings of a node.
type Tree struct {
	file file
}

// bytesPerMegabit converts megabits to bytes.
const bytesPerMegabit = 1e6 / 8

// NetworkBandwidth returns the bandwidth of the host's network connection in bytes
// per second, 0 when it is not set.
func (t *Tree) NetworkBandwidth() float64 { return t.file.LinkMegabits * bytesPerMegabit }

// MissingError reports a required setting that is not set.
type MissingError struct {
	path    string
	setting string
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("settings file %q: set %q", e.path, e.setting)
}

// Setting returns the name of the setting.
func (e *MissingError) Setting() string { return e.setting }

// Read reads a settings file. It returns *MissingError when a required setting is
// not set, and an error with the line number for an unknown setting.
func Read(path string) (*Tree, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the settings file, given by --settings or SAVORYGAP_SETTINGS: %w", err)
	}
	t := &Tree{}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&t.file); err != nil {
		return nil, fmt.Errorf("settings file %q: %w", path, err)
	}
	required := []struct{ name, value string }{
		{"host", t.file.Host}, {"ip", t.file.IP}, {"dataCentre", t.file.DataCentre}, {"service", t.file.Service},
		{"server", t.file.Server}, {"listen.callers", t.file.Listen.Callers}, {"listen.links", t.file.Listen.Links},
		{"listen.ready", t.file.Listen.Ready}, {"listen.announcements", t.file.Listen.Announcements}, {"store.address", t.file.Store.Address},
	}
	for _, r := range required {
		if r.value == "" {
			return nil, &MissingError{path: path, setting: r.name}
		}
	}
	if !t.file.Quota.isValid() {
		return nil, &QuotaError{path: path}
	}
	if err := t.checkHedging(); err != nil {
		return nil, fmt.Errorf("settings file %q: %w", path, err)
	}
	return t, nil
}

// Encode returns the settings in the format of the settings file.
func Encode(t *Tree) (string, error) {
	text, err := yaml.Marshal(t.file)
	return string(text), err
}

// Host returns the name of the host.
func (t *Tree) Host() string { return t.file.Host }

// IP returns the IP address of the host.
func (t *Tree) IP() string { return t.file.IP }

// DataCentre returns the data centre of the host.
func (t *Tree) DataCentre() string { return t.file.DataCentre }

// Region returns the region of the host.
func (t *Tree) Region() string { return t.file.Region }

// Service returns the service of the server on this host.
func (t *Tree) Service() string { return t.file.Service }

// Server returns the address of the server on this host.
func (t *Tree) Server() string { return t.file.Server }

// MemoryLimit returns the memory limit of the process in bytes, 0 when it is not
// set.
func (t *Tree) MemoryLimit() int64 { return t.file.MemoryMegabytes << 20 }

const (
	// bodyMemoryRatio is the fraction of the memory limit that bodies of requests may
	// use, and bodies of responses as much again.
	bodyMemoryRatio = 0.25
	// defaultBodyMemory is the memory for each of the two without a memory limit, in
	// bytes.
	defaultBodyMemory = 64 << 20
)

// BodyMemory returns how many bytes the bodies of requests may use, and those of
// responses as much again.
func (t *Tree) BodyMemory() int64 {
	if t.MemoryLimit() == 0 {
		return defaultBodyMemory
	}
	return int64(bodyMemoryRatio * float64(t.MemoryLimit()))
}

// CallersAddress returns the address on which callers are served.
func (t *Tree) CallersAddress() string { return t.file.Listen.Callers }

// AdvertisedAddress returns the address at which other nodes reach this node's
// LinksAddress. The two are the same unless it is set.
func (t *Tree) AdvertisedAddress() string {
	if t.file.Listen.Advertised == "" {
		return t.file.Listen.Links
	}
	return t.file.Listen.Advertised
}

// LinksAddress returns the address on which links from other nodes are accepted.
func (t *Tree) LinksAddress() string { return t.file.Listen.Links }

// ReadinessAddress returns the address on which the readiness probe is answered.
func (t *Tree) ReadinessAddress() string { return t.file.Listen.Ready }

// AnnouncementsAddress returns the address on which the server on this host
// announces itself.
func (t *Tree) AnnouncementsAddress() string { return t.file.Listen.Announcements }

// MetricsAddress returns the address on which metrics and the state dump are served.
func (t *Tree) MetricsAddress() string { return t.file.Listen.Metrics }

// SetMetricsAddress sets the address unless the file sets it.
func (t *Tree) SetMetricsAddress(address string) {
	if t.file.Listen.Metrics == "" {
		t.file.Listen.Metrics = address
	}
}

// StoreAddress returns the address of the platform's store.
func (t *Tree) StoreAddress() string { return t.file.Store.Address }

// RetryRatio returns how many retries a service may get for each request, over all
// nodes.
func (t *Tree) RetryRatio() float64 { return t.file.Retries.Ratio }

// MinRetries returns how many retries a service may get in each window in addition
// to those for its requests.
func (t *Tree) MinRetries() float64 { return t.file.Retries.Minimum }

// RetryWindow returns the window in which MinRetries are counted.
func (t *Tree) RetryWindow() time.Duration { return t.file.Retries.Window }

// SetRetries sets the limits on retries unless the file sets any.
func (t *Tree) SetRetries(ratio, minimum float64, window time.Duration) {
	if t.file.Retries == (fileRetry{}) {
		t.file.Retries = fileRetry{Ratio: ratio, Minimum: minimum, Window: window}
	}
}

// DrainGrace returns how long the process may take to stop after a signal.
func (t *Tree) DrainGrace() time.Duration { return t.file.Drain.Grace }

// SetDrainGrace sets the grace period unless the file sets it.
func (t *Tree) SetDrainGrace(d time.Duration) {
	if t.file.Drain.Grace == 0 {
		t.file.Drain.Grace = d
	}
}

// FarRoundTrip returns the round-trip time above which a data centre is far, 0 if none is.
func (t *Tree) FarRoundTrip() time.Duration { return t.file.DataCentres.FarRoundTrip }

// DownstreamAdmission reports whether runs are limited while a service that they call is
// short of room.
func (t *Tree) DownstreamAdmission() bool { return t.file.Admission.Downstream }
