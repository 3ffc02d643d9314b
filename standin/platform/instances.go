package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"verbenashift/core/membership/instances"
)

// stateGone is the state of a posted instance that removes it from the list.
const stateGone = "gone"

// instanceList is a list of instances that becomes visible after a lag.
type instanceList struct {
	lag time.Duration

	mu       sync.Mutex
	versions []listVersion // oldest first
}

// listVersion is the list as of a point in time.
type listVersion struct {
	from time.Time
	list []instances.Instance
}

// change adds, replaces or removes the posted instances, as of now.
func (l *instanceList) change(posted []instances.Instance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []instances.Instance
	if n := len(l.versions); n > 0 {
		list = slices.Clone(l.versions[n-1].list)
	}
	for _, p := range posted {
		list = slices.DeleteFunc(list, func(i instances.Instance) bool { return i.Name == p.Name })
		if p.State != stateGone {
			list = append(list, p)
		}
	}
	l.versions = append(l.versions, listVersion{now, list})
}

// visible returns the list as it was one lag before now, and drops older versions.
func (l *instanceList) visible(now time.Time) []instances.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := -1
	for i, v := range l.versions {
		if now.Sub(v.from) >= l.lag {
			current = i
		}
	}
	if current < 0 {
		return []instances.Instance{}
	}
	l.versions = slices.Delete(l.versions, 0, current)
	return l.versions[0].list
}

func (l *instanceList) serveGet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.visible(time.Now()))
}

// servePost accepts a list of instances. Each replaces the one with the same name,
// or removes it if its state is "gone".
func (l *instanceList) servePost(w http.ResponseWriter, r *http.Request) {
	var posted []instances.Instance
	if err := decode(w, r, &posted); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	for _, p := range posted {
		if p.Name == "" || !slices.Contains([]string{instances.Live, instances.Leaving, stateGone}, p.State) {
			writeError(w, badRequest("an instance wants a name and a state of live, leaving or gone"))
			return
		}
	}
	l.change(posted, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
