package limit

// evenPart is the part of the limit that is split evenly whatever the demand,
// so that a node without recent demand can admit a first request.
const evenPart = 0.1

// Share returns which part of an account's limit this node may use. Own is its
// demand, and others that of the nodes it hears of; present counts these and
// itself, and nodes all there are. A node that is not heard keeps its even
// share, so a cut-off data centre and the rest together stay within the limit.
func Share(own, others float64, present, nodes int) float64 {
	present = max(present, 1)
	nodes = max(nodes, present)
	even := 1 / float64(nodes)
	if own+others <= 0 {
		return even
	}
	part := float64(present) * even
	return evenPart*even + (1-evenPart)*part*own/(own+others)
}
