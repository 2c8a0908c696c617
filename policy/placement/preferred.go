package placement

import "github.com/baobablanding/baobablanding/blackboard"

// PreferredEngines returns the ids of the daemon's preferred engines. Each usable engine
// is preferred by one daemon, which is in the engine's data centre if a daemon runs
// there. Daemons learn of each other's requests only with a delay; without preferred
// engines they would all choose the same one.
func PreferredEngines(engines []*blackboard.Engine, roster *blackboard.Roster) map[string]bool {
	preferred := make(map[string]bool)
	next := make(map[string]int) // number of engines assigned, by data centre
	for _, e := range engines {
		if !e.IsUsable() {
			continue
		}
		daemons := daemonsOf(roster, e.DataCentre)
		if len(daemons) == 0 {
			continue
		}
		owner := daemons[next[e.DataCentre]%len(daemons)]
		next[e.DataCentre]++
		if owner.Incarnation == roster.Self.Incarnation {
			preferred[e.ID] = true
		}
	}
	return preferred
}

// daemonsOf returns the daemons of the data centre, or all daemons if it has none.
func daemonsOf(roster *blackboard.Roster, dataCentre string) []blackboard.Peer {
	var daemons []blackboard.Peer
	for _, p := range roster.Members {
		if p.DataCentre == dataCentre {
			daemons = append(daemons, p)
		}
	}
	if len(daemons) == 0 {
		return roster.Members
	}
	return daemons
}
