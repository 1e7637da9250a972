// Halls of the cluj-drafting deployment: tiers, bounded spill, the way back. Read by `whinstall check`;
// not yet switched on in `run` (docs/zone-failover.md).
halls: {
	key: "zone"             // nodes find their hall by the server table's zone
	overprovisioning: 1.4   // a tier at 1/1.4 of its health still takes all its load
	spill_use: 0.8          // a hall takes spill up to this use
	node_rate: 0            // not known here: speeds differ by the day and are told to nobody; spill is not bounded
	bound: "measured"       // ...as soon as its answers slow down; "rated": always
	notice: 0.6             // seconds without a byte from a node: silence
	ramp: 18                // seconds from return to full share: cold nodes are warm within 18 s
	ramp_jitter: 0.25
	hold: 2                 // seconds of answers before a lost hall returns; doubles at each flap
	hold_most: 60
	hall: {
		"hall-a": {}
		"hall-b": {}
		"hall-c": {}
	}
}
