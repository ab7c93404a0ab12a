package limit

// evenSplit is the fraction of the limit that is split evenly among the nodes,
// independent of demand, so that a node without recent demand can admit a first
// request.
const evenSplit = 0.1

// Share returns the fraction of an account's limit that this node may use. ownDemand
// is the demand on this node and peerDemand that on its reachable peers; reachable is
// the number of reachable nodes including this one, nodes the number of all nodes. An
// unreachable node keeps its even share, so that a partitioned data centre and the
// other nodes together stay within the limit.
func Share(ownDemand, peerDemand float64, reachable, nodes int) float64 {
	reachable = max(reachable, 1)
	nodes = max(nodes, reachable)
	evenShare := 1 / float64(nodes)
	if ownDemand+peerDemand <= 0 {
		return evenShare
	}
	reachableShare := float64(reachable) * evenShare
	return evenSplit*evenShare + (1-evenSplit)*reachableShare*ownDemand/(ownDemand+peerDemand)
}
