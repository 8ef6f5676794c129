package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"savorygap.example/lib/document"
	"savorygap.example/lib/operator"
)

// OperatorClient returns a client of the resource API of the host's node.
func (f *Fleet) OperatorClient(h *Host) *operator.Client {
	transport := &http.Transport{TLSClientConfig: f.credentials.ClientConfig(h.name, "http/1.1")}
	return operator.NewClient("https://"+h.OperatorAddress(), &http.Client{Transport: transport})
}

// Apply writes resources through the node of the first host and returns the new
// revision.
func (f *Fleet) Apply(ctx context.Context, resources ...document.Resource) (uint64, error) {
	change := document.NewChange(uuid.NewString(), "", time.Time{}, resources, nil)
	result, err := f.OperatorClient(f.hosts[0]).Apply(ctx, change, nil, false)
	return result.Revision, err
}

// AwaitRevision waits until the revision, or a later one, is in force at every node.
// It returns how long that took.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64, timeout time.Duration) (time.Duration, error) {
	started := time.Now()
	for _, h := range f.hosts {
		for {
			d, err := h.Dump(ctx)
			if err == nil && d.Revision() >= revision {
				break
			}
			if time.Since(started) > timeout {
				return 0, fmt.Errorf("node %q has revision %d after %s, want %d", h.name, d.Revision(), timeout, revision)
			}
			time.Sleep(readyPollInterval / 5)
		}
	}
	return time.Since(started), nil
}

// AwaitTargets waits until every node knows at least the given number of targets.
func (f *Fleet) AwaitTargets(ctx context.Context, targets int, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, h := range f.hosts {
		for {
			d, err := h.Dump(ctx)
			if err == nil && len(d.form.Targets) >= targets {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("node %q knows %d targets after %s, want at least %d", h.name, len(d.form.Targets), timeout, targets)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// Dump is the part of a node's state dump that the bench reads.
type Dump struct {
	form dumpForm
}

type dumpForm struct {
	Goroutines    int    `json:"goroutines"`
	HeapBytes     uint64 `json:"heapBytes"`
	Configuration struct {
		Revision uint64 `json:"revision"`
	} `json:"configuration"`
	Control struct {
		Links         []string `json:"links"`
		SentBytes     uint64   `json:"sentBytes"`
		ReceivedBytes uint64   `json:"receivedBytes"`
		Suspicions    uint64   `json:"suspected"`
		Refutations   uint64   `json:"refuted"`
	} `json:"control"`
	Members []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"members"`
	Servers []struct {
		State             string            `json:"state"`
		Limit             int               `json:"limit"`
		InFlight          int               `json:"inFlight"`
		Granted           uint64            `json:"granted"`
		Refused           map[string]uint64 `json:"refused"`
		InvariantBreaches int               `json:"breaches"`
	} `json:"servers"`
	Targets []struct {
		Node   string `json:"node"`
		Closed bool   `json:"closed"`
	} `json:"targets"`
	RetryBudgets []struct {
		Retried uint64 `json:"retried"`
		Hedged  uint64 `json:"hedged"`
		Denied  uint64 `json:"denied"`
	} `json:"budgets"`
}

// Revision returns the revision in force.
func (d Dump) Revision() uint64 { return d.form.Configuration.Revision }

// ControlBytes returns how many bytes of control messages the node sent and received.
func (d Dump) ControlBytes() (uint64, uint64) {
	return d.form.Control.SentBytes, d.form.Control.ReceivedBytes
}

// Suspicions returns how often the node suspected another node of having failed.
func (d Dump) Suspicions() uint64 { return d.form.Control.Suspicions }

// LinkCount returns the number of open links to other nodes.
func (d Dump) LinkCount() int { return len(d.form.Control.Links) }

// Goroutines returns the number of goroutines of the node.
func (d Dump) Goroutines() int { return d.form.Goroutines }

// HeapBytes returns the live heap of the node in bytes.
func (d Dump) HeapBytes() uint64 { return d.form.HeapBytes }

// MemberState returns the state of the named node in the member table of this node,
// or an empty string if it is not in there.
func (d Dump) MemberState(name string) string {
	for _, m := range d.form.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// TargetCount returns the number of targets that the node knows.
func (d Dump) TargetCount() int { return len(d.form.Targets) }

// InvariantBreaches returns how often an invariant was violated inside the node.
func (d Dump) InvariantBreaches() int {
	n := 0
	for _, s := range d.form.Servers {
		n += s.InvariantBreaches
	}
	return n
}

// Refused returns how many requests the node refused for its servers, by reason.
func (d Dump) Refused() map[string]uint64 {
	out := map[string]uint64{}
	for _, s := range d.form.Servers {
		for reason, n := range s.Refused {
			out[reason] += n
		}
	}
	return out
}

// Granted returns how many requests the node admitted to its servers.
func (d Dump) Granted() uint64 {
	var n uint64
	for _, s := range d.form.Servers {
		n += s.Granted
	}
	return n
}

// Retried returns how many retries and hedged requests the node sent.
func (d Dump) Retried() (retried, hedged uint64) {
	for _, b := range d.form.RetryBudgets {
		retried += b.Retried
		hedged += b.Hedged
	}
	return retried, hedged
}

// Dump fetches the state dump of the host's node.
func (h *Host) Dump(ctx context.Context) (Dump, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.LocalAddress()+"/dump", nil)
	if err != nil {
		return Dump{}, err
	}
	response, err := h.fleet.http.Do(request)
	if err != nil {
		return Dump{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var d Dump
	return d, json.NewDecoder(response.Body).Decode(&d.form)
}

// SetEvacuated takes a data centre out of service, or returns it to service, through
// the first node that accepts the change.
func (f *Fleet) SetEvacuated(ctx context.Context, dataCentre, region string, evacuated bool) error {
	resource := document.DataCentreResource(document.NewDataCentre(dataCentre, region, evacuated))
	change := document.NewChange(uuid.NewString(), "", time.Time{}, []document.Resource{resource}, nil)
	var err error
	for _, h := range f.hosts {
		applyCtx, cancel := context.WithTimeout(ctx, applyTimeout)
		_, err = f.OperatorClient(h).Apply(applyCtx, change, nil, false)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
