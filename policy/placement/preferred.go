package placement

import "github.com/baobablanding/baobablanding/blackboard"

// Homes returns the ids of the engines that the daemon prefers. Each engine is
// the home of one daemon, of its own data centre where there is one, so that
// daemons that know of each other's requests only with a delay do not all choose
// the same engine.
func Homes(engines []*blackboard.Engine, roster *blackboard.Roster) map[string]bool {
	homes := make(map[string]bool)
	next := make(map[string]int) // by data centre: the daemon that is next
	for _, e := range engines {
		if !e.Usable() {
			continue
		}
		daemons := daemonsOf(roster, e.DataCentre)
		if len(daemons) == 0 {
			continue
		}
		owner := daemons[next[e.DataCentre]%len(daemons)]
		next[e.DataCentre]++
		if owner.Incarnation == roster.Self.Incarnation {
			homes[e.ID] = true
		}
	}
	return homes
}

// daemonsOf returns the daemons of the data centre, or all if it has none.
func daemonsOf(roster *blackboard.Roster, dataCentre string) []blackboard.Peer {
	var daemons []blackboard.Peer
	for _, p := range roster.Peers {
		if p.DataCentre == dataCentre {
			daemons = append(daemons, p)
		}
	}
	if len(daemons) == 0 {
		return roster.Peers
	}
	return daemons
}
