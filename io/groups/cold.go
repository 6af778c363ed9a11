package groups

// refusedCost is the cost of a cold database that gets no more requests now, in ms: it comes after
// all others.
const refusedCost = 1000.0

// coldCost returns the cost of a read at a database that may be cold. A cold replica comes first as
// long as it gets requests, since it warms up by them, and last once it has refused one.
func (g *Groups) coldCost(id string, cost float64, primary bool) float64 {
	switch {
	case g.Cold.IsAvoided(id):
		return cost + refusedCost
	case primary || !g.Cold.IsCold(id):
		return cost
	}
	return 0
}
