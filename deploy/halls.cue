// Zone failover of the cluj-drafting deployment. Read by `whinstall check`; not yet switched on in `run`
// (docs/zone-failover.md).
halls: {
	key: "zone"             // endpoints are assigned to zones by the zone label of the endpoint list
	overprovisioning: 1.4   // a tier with a health of 1/1.4 still takes its whole load
	spill_use: 0.8          // a zone takes spillover up to this utilization
	node_rate: 0            // not known here: endpoint rates differ by the day and are not published; no spillover limit
	bound: "measured"       // ...as soon as a zone is congested; "rated": always
	notice: 0.6             // seconds without a byte of a response: the dispatch has timed out
	ramp: 18                // seconds of slow start: cold endpoints are warm within 18 s
	ramp_jitter: 0.25
	hold: 2                 // seconds of backoff before an ejected zone is half-open; doubles with each flap
	hold_most: 60
	hall: {
		"hall-a": {}
		"hall-b": {}
		"hall-c": {}
	}
}
