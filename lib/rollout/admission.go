package rollout

import "slices"

// Admission says which versions of the server on this host accept requests. The zero
// value admits none.
type Admission struct {
	any      bool
	versions []string
	judging  bool
}

// NewAdmission returns the admission of some versions. judging reports whether a rollout
// of the service is under way, so that the responses of its servers are judged.
func NewAdmission(judging bool, versions ...string) Admission {
	return Admission{versions: versions, judging: judging}
}

// AdmitAny returns the admission of all versions.
func AdmitAny() Admission { return Admission{any: true} }

// Judges reports whether the responses of the server are judged.
func (a Admission) Judges() bool { return a.judging }

// Equal reports whether two admissions are the same.
func (a Admission) Equal(b Admission) bool {
	return a.any == b.any && a.judging == b.judging && slices.Equal(a.versions, b.versions)
}

// AdmitsServer reports whether a server of a version accepts requests at all.
func (a Admission) AdmitsServer(release string) bool {
	return a.any || release != "" && slices.Contains(a.versions, release)
}

// Admits reports whether a server of a version, "" if unknown, accepts a request for a
// version, "" for any. A server whose version its node does not know, because the node
// has restarted, accepts requests of nodes that know it from before.
func (a Admission) Admits(release, requested string) bool {
	if release == "" {
		return a.any || a.AdmitsServer(requested)
	}
	return a.AdmitsServer(release) && (requested == "" || requested == release)
}

// Releases remembers the versions of server instances: a node that has restarted does not
// know that of its server until the server announces itself again.
type Releases map[string]string

// maxReleases bounds the instances that are remembered, of some 60 bytes each.
const maxReleases = 8192

// Learn remembers the version of an instance if it is known, and returns the one that is
// remembered otherwise, "" for none.
func (r Releases) Learn(instance, release string) string {
	if release == "" || instance == "" {
		return r[instance]
	}
	if len(r) >= maxReleases {
		clear(r)
	}
	r[instance] = release
	return release
}
