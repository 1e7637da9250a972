// Copies of state among gatekeepers, where a deployment lets them talk (docs/replication.md). Read by
// `whinstall check`. Not in the run line of balancer.toml: that platform has no talk among gatekeepers.
fleet: {
	cluster: "cluj-drafting" // of another name: turned away
	listen:  "127.0.0.1:7000" // datagrams and connections
	// advertise: "10.0.0.7:7000" // where the others reach it, if not there
	seeds: ["127.0.0.1:7001", "127.0.0.1:7002"] // some of the others: the rest are learned
	round:   0.2     // seconds between two rounds
	fanout:  2       // members asked in a round
	bytes:   2000000 // a second, of rows sent to those that lack them
	fresh:   1       // seconds that a copy may lag and still be gone by
	probe:   0.5     // seconds between two probes
	suspect: 2       // seconds from suspicion to giving up
	forget:  600     // seconds that one that is gone is remembered
	tell:    5       // seconds between two log lines
	// Hard ceilings divided by demand (docs/budgets.md); without it they are shared evenly.
	// budgets: { floor: 0.5, term: 2, margin: 0.25 }
}
