// Package controller runs the quotas of one node: a task around quota.Node.
//
// A request whose tenant has a credit at hand takes it without a message to the task. The
// task starts with the first limit; without one there is no task, no timer and no
// message.
//
// # Usage
//
//	c := controller.New(p.Go, controller.NewConfig("host-1", bounds), clock, log, observer)
//	c.SetMembership(membership)
//	c.Configure(limits)
//	claim := c.Begin("hule930")
//	verdict, ok := claim.Wait(ctx)
//	claim.Release() // if the request was not sent
package controller
