// Copies of state among gatekeepers, where a deployment lets them talk (docs/replication.md). Read by
// `whinstall check`. Not in the run line of balancer.toml: that platform has no talk among gatekeepers.
fleet: {
	cluster: "cluj-drafting" // of another name: turned away
	listen:  "127.0.0.1:7000"
	peers: ["127.0.0.1:7001", "127.0.0.1:7002"]
	round:  0.2 // seconds between two rounds
	fanout: 2   // peers asked in a round
	rows:   256 // in one message
	tell:   5   // seconds between two log lines
}
