package calls

import (
	"context"
	"encoding/json"

	"savorygap.example/lib/load"
	"savorygap.example/lib/node"
	"savorygap.example/savorygapd/internal/process"
)

// Method and service of the call that queries a node for its revision. The service
// has a name that no resource can have.
const (
	RevisionQueryMethod  = "CENSUS"
	RevisionQueryService = "."
)

// RevisionForm is the JSON form of the response to a revision query.
type RevisionForm struct {
	Revision uint64 `json:"revision"`
}

// handleRevisionQueries answers revision queries and passes all other calls to next.
// It reports the revision that each of those carries to the gossip agent.
func handleRevisionQueries(p *process.Process, next node.Handler) node.Handler {
	return func(ctx context.Context, i *node.IncomingCall) {
		if i.Call().Service() != RevisionQueryService {
			p.GossipAgent().ObserveRevision(i.Call().Revision(), i.PeerName())
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
		_ = i.SendHead(node.NewHead(200, nil, int64(len(text)), load.Report{}))
		_, _ = i.Write(text)
		_ = i.SendEnd(nil, load.Report{})
	}
}
