package settings

import "time"

// fileRollout bounds what a bad version gets during a rollout.
type fileRollout struct {
	ExposureShare float64       `yaml:"exposureShare"`
	ExposureSlack float64       `yaml:"exposureSlack"`
	RollbackAfter time.Duration `yaml:"rollbackAfter"`
}

// FollowsRollouts reports whether orders to roll out a version are followed. Without the
// settings they are ignored.
func (t *Tree) FollowsRollouts() bool {
	return t.file.Rollout != nil && t.file.Rollout.ExposureShare > 0
}

// RolloutBounds returns the share of the requests of a service that a bad version may get
// and the requests that it may get besides, and how soon after as many bad responses it
// gets no more. They are valid only if FollowsRollouts.
func (t *Tree) RolloutBounds() (exposureShare, exposureSlack float64, rollbackAfter time.Duration) {
	r := t.file.Rollout
	return r.ExposureShare, r.ExposureSlack, r.RollbackAfter
}
