package quota_test

import (
	"fmt"
	"testing"
	"time"

	"savorygap.example/lib/quota"
)

// The sizes at which docs/CAPACITY.md states the cost of quotas.
const (
	targetNodes   = 5126
	targetTenants = 10_000
)

func targetNames() []string {
	names := make([]string, targetNodes-1)
	for i := range names {
		names[i] = fmt.Sprintf("sidecar-riviere-du-rempart-%d", i)
	}
	return names
}

func targetView() quota.View { return quota.NewView("self", targetNames(), targetNodes, false) }

func targetLimits() []quota.Limit {
	limits := make([]quota.Limit, targetTenants)
	for i := range limits {
		limits[i] = quota.NewLimit(fmt.Sprintf("tenant-%d", i), 10, 10)
	}
	return limits
}

func targetNode(now time.Time) *quota.Node {
	return quota.NewNode(now, "self", bounds, func(string, quota.Question) bool { return true }, func(uint64, quota.Verdict) {},
		quota.NewObserver(func(quota.Source, int) {}, func(string, quota.Verdict) {}, func(int) {}))
}

func BenchmarkOwnerOfATenant(b *testing.B) {
	v := targetView()
	for range b.N {
		_ = v.Owner("tenant-77")
	}
}

func BenchmarkNewView(b *testing.B) {
	names := targetNames()
	b.ReportAllocs()
	for range b.N {
		_ = quota.NewView("self", names, targetNodes, false)
	}
}

func BenchmarkConfigure(b *testing.B) {
	now, limits := time.Now(), targetLimits()
	b.ReportAllocs()
	for range b.N {
		targetNode(now).Configure(now, limits)
	}
}

// BenchmarkQuestionAndAnswer is a request without a credit at hand, without its messages.
func BenchmarkQuestionAndAnswer(b *testing.B) {
	now := time.Now()
	var asked quota.Question
	node := quota.NewNode(now, "self", bounds, func(_ string, q quota.Question) bool {
		asked = q
		return true
	}, func(uint64, quota.Verdict) {}, quota.NewObserver(func(quota.Source, int) {}, func(string, quota.Verdict) {}, func(int) {}))
	node.SetView(now, targetView())
	node.Configure(now, targetLimits())
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		node.Request(now, "tenant-77", uint64(i))
		node.HandleAnswer(now, quota.NewAnswer(asked.Number(), 1, 0, true))
	}
}
