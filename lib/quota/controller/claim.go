package controller

import (
	"context"

	"savorygap.example/lib/quota"
	"savorygap.example/lib/task"
)

// Claim is the credit of one request, or the wait for it. The zero Claim is that of a
// request without a limit. It belongs to one goroutine.
type Claim struct {
	controller *Controller
	account    *quota.Account
	tenant     string
	id         uint64
	reply      task.Reply[quota.Verdict]
	verdict    quota.Verdict
}

// Begin takes a credit for a request of the tenant, or asks for one without waiting for
// it.
func (c *Controller) Begin(tenant string) Claim {
	accounts := c.accounts.Load()
	if accounts == nil {
		return Claim{}
	}
	account, ok := (*accounts)[tenant]
	if !ok {
		return Claim{}
	}
	claim := Claim{controller: c, account: account, tenant: tenant}
	if expiresAt, ok := account.Take(c.clock.Now()); ok {
		claim.verdict = quota.Admit(expiresAt)
		return claim
	}
	claim.id, claim.reply = c.lastID.Add(1), task.NewReply[quota.Verdict]()
	c.inbox.Send(message{request: &requestMessage{tenant: tenant, id: claim.id, reply: claim.reply}})
	return claim
}

// IsDoubtful reports whether the request has no credit yet and one of its tenant was
// refused here within the last second.
func (c *Claim) IsDoubtful() bool {
	return c.reply != nil && c.account.IsOverLimit(c.controller.clock.Now())
}

// Wait returns the verdict on the request. It returns false if ctx ends before, or the
// process stops.
func (c *Claim) Wait(ctx context.Context) (quota.Verdict, bool) {
	if c.controller == nil {
		return quota.Unlimited(), true
	}
	if c.reply == nil {
		return c.verdict, true
	}
	v, ok := c.reply.Wait(ctx, c.controller.inbox.Done())
	if ok {
		c.verdict, c.reply = v, nil
	}
	return v, ok
}

// Release gives back the credit of a request that was not sent.
func (c *Claim) Release() {
	switch {
	case c.controller == nil:
	case c.reply != nil:
		c.controller.inbox.Send(message{abandoned: &requestMessage{tenant: c.tenant, id: c.id, reply: c.reply}})
	case c.verdict.Admitted():
		c.account.Add(c.controller.clock.Now(), 1, c.verdict.ExpiresAt())
	}
	*c = Claim{}
}
