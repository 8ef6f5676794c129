// Package certificates loads the keys of the process and reloads them when the
// files change.
package certificates

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"savorygap.example/lib/certs"
	"savorygap.example/savorygapd/internal/process"
	"savorygap.example/savorygapd/internal/settings"
)

const pollInterval = 10 * time.Second

// String names the step.
func String() string { return "certificates" }

// Default fills the settings; there are none.
func Default(*settings.Tree) {}

// Run loads the certificates. The name in the certificate must be the host.
func Run(p *process.Process) error {
	t := p.Settings().TLS()
	ring, err := certs.Load(t.Authorities(), t.Certificate(), t.Key())
	if err != nil {
		return err
	}
	if ring.Name() != p.Settings().Host() {
		return fmt.Errorf("certificate %q is for %q, the host is %q: issue one with \"savorygap keys issue\"", t.Certificate(), ring.Name(), p.Settings().Host())
	}
	p.SetRing(ring)
	p.Go(func(ctx context.Context) { poll(ctx, p) })
	return nil
}

// poll reloads the files when one of them changed.
func poll(ctx context.Context, p *process.Process) {
	last := newest(p.Settings().TLS())
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Clock().After(pollInterval):
		}
		changed := newest(p.Settings().TLS())
		if changed.Equal(last) {
			continue
		}
		last = changed
		if err := p.Ring().Reload(); err != nil {
			_ = level.Error(p.Logger()).Log("event", "reload certificates", "error", err)
			continue
		}
		_ = level.Info(p.Logger()).Log("event", "reload certificates")
	}
}

func newest(t settings.TLS) time.Time {
	var latest time.Time
	for _, file := range []string{t.Authorities(), t.Certificate(), t.Key()} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
