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
	censusWorkers  = 16
	censusTimeout  = time.Second
	censusPace     = 5 * time.Millisecond // between two calls
	maxCensusBytes = 4 << 10
	maxNamed       = 20
)

// counted is one node's answer to the census.
type counted struct {
	claim    member.Record
	revision uint64
	answered bool
}

// takeCensus asks every usable node for its revision, a few at a time and
// paced, so that the question costs nothing while nobody asks it.
func takeCensus(ctx context.Context, p *process.Process) operator.StatusForm {
	dump := p.Control().Dump(ctx)
	var claims []member.Record
	for _, m := range dump.Members() {
		if m.State() == "alive" || m.State() == "suspect" {
			claims = append(claims, m.Record())
		}
	}
	answers := askAll(ctx, p, claims, uint64(dump.Revision()))
	return statusOf(dump, p.Control().Current(ctx), answers)
}

func askAll(ctx context.Context, p *process.Process, claims []member.Record, own uint64) []counted {
	work := make(chan member.Record)
	results := make(chan counted)
	for range censusWorkers {
		go func() {
			for c := range work {
				results <- askOne(ctx, p, c, own)
			}
		}()
	}
	go func() {
		defer close(work)
		for _, c := range claims {
			work <- c
			<-p.Clock().After(censusPace)
		}
	}()
	answers := make([]counted, 0, len(claims))
	for range claims {
		answers = append(answers, <-results)
	}
	return answers
}

func askOne(ctx context.Context, p *process.Process, c member.Record, own uint64) counted {
	if c.Name() == p.Settings().Host() {
		return counted{claim: c, revision: own, answered: true}
	}
	ctx, cancel := context.WithTimeout(ctx, censusTimeout)
	defer cancel()
	call := attempt.NewCall("census", calls.CensusService, "", censusTimeout).
		WithRequest(calls.CensusMethod, "/", "", http.Header{}, 0)
	answer, err := p.Client().Attempt(ctx, node.NewPeer(c.Name(), c.CallAddress()), call, nil)
	if err != nil {
		return counted{claim: c}
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body(), maxCensusBytes))
	answer.Finish(err)
	var form calls.CensusForm
	if err != nil || json.Unmarshal(text, &form) != nil {
		return counted{claim: c}
	}
	return counted{claim: c, revision: form.Revision, answered: true}
}

func statusOf(dump gossip.Dump, d *document.Document, answers []counted) operator.StatusForm {
	form := operator.StatusForm{Revision: uint64(dump.HighestRevision()), Nodes: len(answers)}
	dataCentres := map[string]*operator.DataCentreForm{}
	for _, a := range answers {
		dc := dataCentres[a.claim.DataCentre()]
		if dc == nil {
			dc = &operator.DataCentreForm{Name: a.claim.DataCentre()}
			dataCentres[a.claim.DataCentre()] = dc
		}
		dc.Nodes++
		dc.Servers += len(a.claim.Servers())
		switch {
		case !a.answered:
			if len(form.Unresponsive) < maxNamed {
				form.Unresponsive = append(form.Unresponsive, a.claim.Name())
			}
		case a.revision >= form.Revision:
			form.UpToDate++
			dc.UpToDate++
		case len(form.Behind) < maxNamed:
			form.Behind = append(form.Behind, operator.NodeForm{Name: a.claim.Name(), DataCentre: a.claim.DataCentre(), Revision: a.revision})
		}
	}
	for _, dc := range dataCentres {
		dc.OutOfService = isOut(d, dc.Name)
		form.DataCentres = append(form.DataCentres, *dc)
	}
	sort.Slice(form.DataCentres, func(i, j int) bool { return form.DataCentres[i].Name < form.DataCentres[j].Name })
	return form
}

func isOut(d *document.Document, name string) bool {
	if d == nil {
		return false
	}
	r, _ := d.Get(document.NewKey(document.KindDataCentre, name))
	dc, _ := r.DataCentre()
	return dc.OutOfService()
}
