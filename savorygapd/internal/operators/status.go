package operators

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"time"

	"savorygap.example/lib/attempt"
	"savorygap.example/lib/document"
	"savorygap.example/lib/gossip"
	"savorygap.example/lib/member"
	"savorygap.example/lib/node"
	"savorygap.example/lib/operator"
	"savorygap.example/savorygapd/internal/calls"
	"savorygap.example/savorygapd/internal/process"
)

const (
	queryWorkers     = 16
	queryTimeout     = time.Second
	queryInterval    = 5 * time.Millisecond // between the starts of two queries
	maxResponseBytes = 4 << 10              // of one node
	maxListedNodes   = 20                   // in each list of nodes in a status
)

// nodeStatus is the result of the revision query to one node.
type nodeStatus struct {
	record   member.Record
	revision uint64
	answered bool
}

// collectStatus queries the revision of every node that is alive or suspect, with
// limited concurrency and rate. Nodes are queried on demand, so that no traffic is
// spent while no operator asks for the status.
func collectStatus(ctx context.Context, p *process.Process) operator.StatusForm {
	dump := p.GossipAgent().Dump(ctx)
	var records []member.Record
	for _, m := range dump.Members() {
		if m.State() == "alive" || m.State() == "suspect" {
			records = append(records, m.Record())
		}
	}
	statuses := queryNodes(ctx, p, records, uint64(dump.Revision()))
	return buildStatus(dump, p.GossipAgent().Current(ctx), statuses)
}

func queryNodes(ctx context.Context, p *process.Process, records []member.Record, ownRevision uint64) []nodeStatus {
	work := make(chan member.Record)
	results := make(chan nodeStatus)
	for range queryWorkers {
		go func() {
			for r := range work {
				results <- queryNode(ctx, p, r, ownRevision)
			}
		}()
	}
	go func() {
		defer close(work)
		for _, r := range records {
			work <- r
			<-p.Clock().After(queryInterval)
		}
	}()
	statuses := make([]nodeStatus, 0, len(records))
	for range records {
		statuses = append(statuses, <-results)
	}
	return statuses
}

func queryNode(ctx context.Context, p *process.Process, r member.Record, ownRevision uint64) nodeStatus {
	if r.Name() == p.Settings().Host() {
		return nodeStatus{record: r, revision: ownRevision, answered: true}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	call := attempt.NewCall("census", calls.RevisionQueryService, "", queryTimeout).
		WithRequest(calls.RevisionQueryMethod, "/", "", http.Header{}, 0)
	response, err := p.Client().Attempt(ctx, node.NewPeer(r.Name(), r.CallAddress()), call, nil)
	if err != nil {
		return nodeStatus{record: r}
	}
	text, err := io.ReadAll(io.LimitReader(response.Body(), maxResponseBytes))
	response.Finish(err)
	var form calls.RevisionForm
	if err != nil || json.Unmarshal(text, &form) != nil {
		return nodeStatus{record: r}
	}
	return nodeStatus{record: r, revision: form.Revision, answered: true}
}

func buildStatus(dump gossip.Dump, d *document.Document, statuses []nodeStatus) operator.StatusForm {
	form := operator.StatusForm{Revision: uint64(dump.HighestRevision()), Nodes: len(statuses)}
	dataCentres := map[string]*operator.DataCentreForm{}
	for _, s := range statuses {
		dc := dataCentres[s.record.DataCentre()]
		if dc == nil {
			dc = &operator.DataCentreForm{Name: s.record.DataCentre()}
			dataCentres[s.record.DataCentre()] = dc
		}
		dc.Nodes++
		dc.Servers += len(s.record.Servers())
		switch {
		case !s.answered:
			if len(form.Unresponsive) < maxListedNodes {
				form.Unresponsive = append(form.Unresponsive, s.record.Name())
			}
		case s.revision >= form.Revision:
			form.UpToDate++
			dc.UpToDate++
		case len(form.Behind) < maxListedNodes:
			form.Behind = append(form.Behind, operator.NodeForm{Name: s.record.Name(), DataCentre: s.record.DataCentre(), Revision: s.revision})
		}
	}
	for _, dc := range dataCentres {
		dc.OutOfService = isOutOfService(d, dc.Name)
		form.DataCentres = append(form.DataCentres, *dc)
	}
	sort.Slice(form.DataCentres, func(i, j int) bool { return form.DataCentres[i].Name < form.DataCentres[j].Name })
	return form
}

func isOutOfService(d *document.Document, name string) bool {
	if d == nil {
		return false
	}
	r, _ := d.Get(document.NewKey(document.KindDataCentre, name))
	dc, _ := r.DataCentre()
	return dc.OutOfService()
}
