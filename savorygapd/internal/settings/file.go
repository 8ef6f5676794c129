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

// file is the written form of the tree.
type file struct {
	Host       string        `yaml:"host"`
	DataCentre string        `yaml:"dataCentre"`
	Region     string        `yaml:"region"`
	Listen     fileAddresses `yaml:"listen"`
	Advertise  fileAdvertise `yaml:"advertise"`
	Store      fileStore     `yaml:"store"`
	TLS        fileTLS       `yaml:"tls"`
	Peers      []filePeer    `yaml:"peers,omitempty"`
	Balance    fileBalance   `yaml:"balance"`
	Calls      fileCalls     `yaml:"calls"`
	Log        fileLog       `yaml:"log"`
	Drain      fileDrain     `yaml:"drain"`
	Bounds     fileBounds    `yaml:"bounds"`
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
	Address string  `yaml:"address"`
	Reads   float64 `yaml:"readsPerSecond"`
	Writes  float64 `yaml:"writesPerSecond"`
	Burst   int     `yaml:"burst"`

	StartJitter time.Duration `yaml:"startJitter"`
}

type fileTLS struct {
	Authorities string `yaml:"authorities"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

type filePeer struct {
	Name    string `yaml:"name"`
	Control string `yaml:"control"`
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
	Linger  time.Duration `yaml:"linger"`
	Timeout time.Duration `yaml:"timeout"`
}

type fileBounds struct {
	HeaderBytes int           `yaml:"headerBytes"`
	HeaderTime  time.Duration `yaml:"headerTime"`
	Connections int           `yaml:"connections"`
}

// Load reads a settings file. It refuses unknown fields, naming line and
// column.
func Load(name string) (*Tree, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	t, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings file %q: %w", name, err)
	}
	return t, nil
}

// Parse reads settings in YAML.
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
		store:     Store{address: f.Store.Address, reads: f.Store.Reads, writes: f.Store.Writes, burst: f.Store.Burst, jitter: f.Store.StartJitter},
		tls:       TLS{authorities: f.TLS.Authorities, certificate: f.TLS.Certificate, key: f.TLS.Key},
		policy:    f.Balance.Policy, transport: f.Calls.Transport, logLevel: f.Log.Level,
		drain:  Drain{linger: f.Drain.Linger, timeout: f.Drain.Timeout},
		bounds: CallerLimits{headerBytes: f.Bounds.HeaderBytes, headerTime: f.Bounds.HeaderTime, connections: f.Bounds.Connections},
	}
	for _, p := range f.Peers {
		t.peers = append(t.peers, Peer{name: p.Name, control: p.Control})
	}
	return t, nil
}

// Format writes the tree in YAML.
func Format(t *Tree) ([]byte, error) {
	f := file{
		Host: t.host, DataCentre: t.dataCentre, Region: t.region,
		Listen: fileAddresses{
			Callers: t.listen.callers, Calls: t.listen.calls, Control: t.listen.control,
			Local: t.listen.local, Operators: t.listen.operators,
		},
		Advertise: fileAdvertise{Calls: t.advertise.calls, Control: t.advertise.control},
		Store:     fileStore{Address: t.store.address, Reads: t.store.reads, Writes: t.store.writes, Burst: t.store.burst, StartJitter: t.store.jitter},
		TLS:       fileTLS{Authorities: t.tls.authorities, Certificate: t.tls.certificate, Key: t.tls.key},
		Balance:   fileBalance{Policy: t.policy},
		Calls:     fileCalls{Transport: t.transport},
		Log:       fileLog{Level: t.logLevel},
		Drain:     fileDrain{Linger: t.drain.linger, Timeout: t.drain.timeout},
		Bounds:    fileBounds{HeaderBytes: t.bounds.headerBytes, HeaderTime: t.bounds.headerTime, Connections: t.bounds.connections},
	}
	for _, p := range t.peers {
		f.Peers = append(f.Peers, filePeer{Name: p.name, Control: p.control})
	}
	return yaml.Marshal(f)
}
