package calls

import (
	"context"
	"encoding/json"

	"savorygap.example/lib/load"
	"savorygap.example/lib/node"
	"savorygap.example/savorygapd/internal/process"
)

// CensusMethod is the method of a call that asks a node for its revision. It
// belongs to the service named by CensusService, which no operator can create.
const (
	CensusMethod  = "CENSUS"
	CensusService = "."
)

// CensusForm is the answer to a census call.
type CensusForm struct {
	Revision uint64 `json:"revision"`
}

// census answers census calls, passes on which revisions callers mention, and
// leaves all other calls to next.
func census(p *process.Process, next node.Handler) node.Handler {
	return func(ctx context.Context, i *node.IncomingCall) {
		if i.Call().Service() != CensusService {
			p.Control().ObserveRevision(i.Call().Revision(), i.PeerName())
			next(ctx, i)
			return
		}
		form := CensusForm{}
		if d := p.Control().Current(ctx); d != nil {
			form.Revision = uint64(d.Revision())
		}
		text, err := json.Marshal(form)
		if err != nil {
			return
		}
		_ = i.SendHead(node.NewHead(200, nil, int64(len(text)), load.Report{}))
		_, _ = i.Write(text)
		_ = i.SendEnd(nil, load.Report{})
	}
}
