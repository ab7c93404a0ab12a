package limit

// evenPart is the part of the limit that is split evenly whatever the demand,
// so that a node without recent demand can admit a first request.
const evenPart = 0.1

// Share returns which part of an account's limit this node may use. Own is its
// demand and heard that of the nodes it hears of; nodes counts all nodes. A
// node that is not heard keeps its even share, so a cut-off data centre and the
// rest together stay within the limit.
func Share(own float64, heard []float64, nodes int) float64 {
	present := len(heard) + 1
	nodes = max(nodes, present)
	part := float64(present) / float64(nodes)
	even := part / float64(present)
	total := own
	for _, d := range heard {
		total += d
	}
	if total <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*part*own/total
}
