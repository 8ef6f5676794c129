package calls

import (
	"context"
	"encoding/json"

	"savorygap.example/lib/load"
	"savorygap.example/lib/node"
	"savorygap.example/savorygapd/internal/process"
)

// RevisionQueryMethod is the method of a call that asks a node for its revision. It
// belongs to the service named by RevisionQueryService, which no operator can create.
const (
	RevisionQueryMethod  = "CENSUS"
	RevisionQueryService = "."
)

// RevisionForm is the answer to a census call.
type RevisionForm struct {
	Revision uint64 `json:"revision"`
}

// census answers census calls, passes on which revisions callers mention, and
// leaves all other calls to next.
func census(p *process.Process, next node.Handler) node.Handler {
	return func(ctx context.Context, i *node.Incoming) {
		if i.Call().Service() != RevisionQueryService {
			p.GossipAgent().Hear(i.Call().Revision(), i.PeerName())
			next(ctx, i)
			return
		}
		form := RevisionForm{}
		if d := p.GossipAgent().Current(ctx); d != nil {
			form.Revision = uint64(d.Revision())
		}
		text, err := json.Marshal(form)
		if err != nil {
			return
		}
		_ = i.Answer(node.NewHead(200, nil, int64(len(text)), load.Report{}))
		_, _ = i.Write(text)
		_ = i.End(nil, load.Report{})
	}
}
