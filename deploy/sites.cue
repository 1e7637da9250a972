// What is to be done when a whole site is lost (docs/sites.md). Read by `whinstall plan` and `whinstall check` only.
// The figures are an example: this platform has one site.
sites: {
	most: 0.85 // use up to which a site may be loaded
	kind: {
		"beyond quota": { part: 0.05, refuse: 1 }
		"standard preview": { part: 0.45, refuse: 2 }
		"cabinet preview": { part: 0.2, refuse: 3 }
		"standard issue": { part: 0.2, refuse: 4 }
		"cabinet issue": { part: 0.1, refuse: 5, must: true }
	}
	site: {
		cluj: {
			halls: ["hall-a", "hall-b"]
			capacity: 120 // units a second
			load: 70
			to: { arad: { weight: 2 }, deva: { weight: 1 } }
		}
		arad: { halls: ["hall-c"], capacity: 100, load: 50, to: { cluj: {}, deva: { order: 2 } } }
		deva: { halls: ["hall-d"], capacity: 60, load: 30, to: { cluj: {}, arad: {} } }
	}
}
