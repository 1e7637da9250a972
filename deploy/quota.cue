// How the counter is guarded: books of its answers, breakers, modes, late answers. Read by `whinstall check`.
// These are the defaults, which hold without any file (docs/quota.md).
counter: {
	guard: true        // false: the counter's answers pass as they are
	parts: 1           // parts that names lie on (FNV-1a modulo), where that is known
	counts_most: 20000 // books kept at the most
	retell: 2          // seconds over which a replaced counter is told again
	fade: 30           // seconds that a learnt share is believed without totals
	late: 1            // seconds after the wait in which an answer is still used; 0: none
	witness: true      // compare totals with the meter
	failures: 3        // in a row, before a count is left alone...
	first_trial: 0.1   // ...for so many seconds, doubling...
	last_trial: 1      // ...up to this
	span: 1.5          // seconds that evidence of a mode counts
	lost_after: 0.3
	settle: 0.5
	watch: 2
	watch_most: 30
}
