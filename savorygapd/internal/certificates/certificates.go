// Package certificates loads the certificates and the private key of the process,
// and reloads them when a file changes.
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

// String returns the name of the step.
func String() string { return "certificates" }

// Default does nothing; the step has no defaults.
func Default(*settings.Tree) {}

// Run loads the files and starts the task that watches them. The certificate must
// be issued for the name of the host.
func Run(p *process.Process) error {
	t := p.Settings().TLS()
	credentials, err := certs.Load(t.CAFile(), t.CertificateFile(), t.KeyFile())
	if err != nil {
		return err
	}
	if credentials.Name() != p.Settings().Host() {
		return fmt.Errorf("certificate %q is issued for %q, but the host is %q: issue one with \"savorygap keys issue\"", t.CertificateFile(), credentials.Name(), p.Settings().Host())
	}
	p.SetCredentials(credentials)
	p.Go(func(ctx context.Context) { watchFiles(ctx, p) })
	return nil
}

// watchFiles reloads all files when the modification time of any of them changes.
func watchFiles(ctx context.Context, p *process.Process) {
	last := latestModTime(p.Settings().TLS())
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Clock().After(pollInterval):
		}
		modTime := latestModTime(p.Settings().TLS())
		if modTime.Equal(last) {
			continue
		}
		last = modTime
		if err := p.Credentials().Reload(); err != nil {
			_ = level.Error(p.Logger()).Log("event", "reload certificates", "error", err)
			continue
		}
		_ = level.Info(p.Logger()).Log("event", "reload certificates")
	}
}

func latestModTime(t settings.TLS) time.Time {
	var latest time.Time
	for _, file := range []string{t.CAFile(), t.CertificateFile(), t.KeyFile()} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
