// Package quota decides how many requests of a tenant a fleet of nodes sends to
// servers.
//
// Each tenant has one owner among the nodes, found by rendezvous hashing. The owner
// holds a token bucket and answers the questions of the other nodes with credits. A node
// that gets no answer uses a small bucket of its own, its fallback. docs/design/quotas.md
// derives the constants from the bound.
//
// # Usage
//
//	n := quota.NewNode(now, "host-1", bounds, send, settle, observer)
//	n.SetView(now, quota.NewView("host-1", linked, members, false))
//	accounts := n.Configure(now, limits)
//	if _, ok := accounts["hule930"].Take(now); !ok {
//		n.Request(now, "hule930", id) // settle is called with the verdict
//	}
//	if due, ok := n.NextTimeout(); ok { ... n.Expire(due) }
//
// A Node belongs to one goroutine, except its accounts, whose credits any goroutine may
// take. The package has no clock and no goroutines; lib/quota/controller is the task
// around it.
package quota
