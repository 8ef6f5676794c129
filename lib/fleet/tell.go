package fleet

import "context"

// tellPeers sends records to the peers, and waits on another goroutine until those that are
// not silent have handled them.
func (f *Fleet) tellPeers(ctx context.Context, m *tellMessage) {
	handled := make(chan struct{}, len(f.links))
	awaited := 0
	for _, p := range f.links {
		if p.silent {
			p.link.SendSuspicions(m.records)
			continue
		}
		p.link.TellSuspicions(m.records, handled)
		awaited++
	}
	timer := f.clock.NewTimer(tellTimeout)
	go func() {
		defer m.told()
		defer timer.Stop()
		for range awaited {
			select {
			case <-handled:
			case <-timer.Chan():
				return
			case <-ctx.Done():
				return
			}
		}
	}()
}
