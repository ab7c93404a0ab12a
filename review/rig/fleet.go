package main

import "fmt"

// fleetZones are the zones of the nodes of a small deployment, as on the small sites.
var fleetZones = []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}

// startFleet starts the nodes of a small deployment and waits until they are ready.
func (r *rig) startFleet() (nodes []*node, err error) {
	for i, zone := range fleetZones {
		n, err := r.addNode(fmt.Sprintf("front-%s-%d", zone, i+1), zone, i+1, true)
		if err != nil {
			return nil, err
		}
		if err = n.start(); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err = n.awaitReady(); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}
