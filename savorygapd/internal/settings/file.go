package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// file is the encoding of the settings file.
type file struct {
	Host         string           `yaml:"host"`
	DataCentre   string           `yaml:"dataCentre"`
	Region       string           `yaml:"region"`
	Listen       fileAddresses    `yaml:"listen"`
	Advertise    fileAdvertise    `yaml:"advertise"`
	Store        fileStore        `yaml:"store"`
	TLS          fileTLS          `yaml:"tls"`
	Peers        []filePeer       `yaml:"peers,omitempty"`
	Balance      fileBalance      `yaml:"balance"`
	Calls        fileCalls        `yaml:"calls"`
	Log          fileLog          `yaml:"log"`
	Drain        fileDrain        `yaml:"drain"`
	CallerLimits fileCallerLimits `yaml:"bounds"`
}

type fileAddresses struct {
	Callers   string `yaml:"callers"`
	Calls     string `yaml:"calls"`
	Control   string `yaml:"control"`
	Local     string `yaml:"local"`
	Operators string `yaml:"operators"`
}

type fileAdvertise struct {
	Calls   string `yaml:"calls"`
	Control string `yaml:"control"`
}

type fileStore struct {
	Address         string  `yaml:"address"`
	ReadsPerSecond  float64 `yaml:"readsPerSecond"`
	WritesPerSecond float64 `yaml:"writesPerSecond"`
	Burst           int     `yaml:"burst"`

	StartJitter time.Duration `yaml:"startJitter"`
}

type fileTLS struct {
	CAFile          string `yaml:"authorities"`
	CertificateFile string `yaml:"certificate"`
	KeyFile         string `yaml:"key"`
}

type filePeer struct {
	Name           string `yaml:"name"`
	ControlAddress string `yaml:"control"`
}

type fileBalance struct {
	Policy string `yaml:"policy"`
}

type fileCalls struct {
	Transport string `yaml:"transport"`
}

type fileLog struct {
	Level string `yaml:"level"`
}

type fileDrain struct {
	AcceptPeriod time.Duration `yaml:"linger"`
	Timeout      time.Duration `yaml:"timeout"`
}

type fileCallerLimits struct {
	MaxHeaderBytes int           `yaml:"headerBytes"`
	HeaderTimeout  time.Duration `yaml:"headerTime"`
	MaxConnections int           `yaml:"connections"`
}

// Load reads a settings file. The error for an unknown field gives its line and
// column.
func Load(path string) (*Tree, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	t, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings file %q: %w", path, err)
	}
	return t, nil
}

// Parse decodes settings from YAML. See Load.
func Parse(text []byte) (*Tree, error) {
	var f file
	err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&f)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	t := &Tree{
		host: f.Host, dataCentre: f.DataCentre, region: f.Region,
		listen: Addresses{
			callers: f.Listen.Callers, calls: f.Listen.Calls, control: f.Listen.Control,
			local: f.Listen.Local, operators: f.Listen.Operators,
		},
		advertise: Addresses{calls: f.Advertise.Calls, control: f.Advertise.Control},
		store:     Store{address: f.Store.Address, readsPerSecond: f.Store.ReadsPerSecond, writesPerSecond: f.Store.WritesPerSecond, burst: f.Store.Burst, startJitter: f.Store.StartJitter},
		tls:       TLS{caFile: f.TLS.CAFile, certificateFile: f.TLS.CertificateFile, keyFile: f.TLS.KeyFile},
		policy:    f.Balance.Policy, transport: f.Calls.Transport, logLevel: f.Log.Level,
		drain:        Drain{acceptPeriod: f.Drain.AcceptPeriod, timeout: f.Drain.Timeout},
		callerLimits: CallerLimits{maxHeaderBytes: f.CallerLimits.MaxHeaderBytes, headerTimeout: f.CallerLimits.HeaderTimeout, maxConnections: f.CallerLimits.MaxConnections},
	}
	for _, p := range f.Peers {
		t.peers = append(t.peers, Peer{name: p.Name, controlAddress: p.ControlAddress})
	}
	return t, nil
}

// Format encodes the settings as YAML, in the format of the settings file.
func Format(t *Tree) ([]byte, error) {
	f := file{
		Host: t.host, DataCentre: t.dataCentre, Region: t.region,
		Listen: fileAddresses{
			Callers: t.listen.callers, Calls: t.listen.calls, Control: t.listen.control,
			Local: t.listen.local, Operators: t.listen.operators,
		},
		Advertise:    fileAdvertise{Calls: t.advertise.calls, Control: t.advertise.control},
		Store:        fileStore{Address: t.store.address, ReadsPerSecond: t.store.readsPerSecond, WritesPerSecond: t.store.writesPerSecond, Burst: t.store.burst, StartJitter: t.store.startJitter},
		TLS:          fileTLS{CAFile: t.tls.caFile, CertificateFile: t.tls.certificateFile, KeyFile: t.tls.keyFile},
		Balance:      fileBalance{Policy: t.policy},
		Calls:        fileCalls{Transport: t.transport},
		Log:          fileLog{Level: t.logLevel},
		Drain:        fileDrain{AcceptPeriod: t.drain.acceptPeriod, Timeout: t.drain.timeout},
		CallerLimits: fileCallerLimits{MaxHeaderBytes: t.callerLimits.maxHeaderBytes, HeaderTimeout: t.callerLimits.headerTimeout, MaxConnections: t.callerLimits.maxConnections},
	}
	for _, p := range t.peers {
		f.Peers = append(f.Peers, filePeer{Name: p.name, ControlAddress: p.controlAddress})
	}
	return yaml.Marshal(f)
}
