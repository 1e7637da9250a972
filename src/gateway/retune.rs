//! Settings that change while a gateway runs: classes and plans come, go and differ, and requests that are open keep
//! the class and the number of attempts that they came under. It owns which records of the old settings live on. It
//! must never decide on a request.

use crate::gateway::attempts::SEEN_PRIOR;
use crate::gateway::interface::Settings;
use crate::gateway::state::{sane_settings, Gateway};

impl Gateway {
    /// Goes by these settings from now on, for all that comes. Classes are told apart by index: one that goes or
    /// differs keeps its place for the requests that are open, and its successor gets a new one.
    pub fn update_settings(&mut self, settings: Settings) {
        let mut s = sane_settings(settings);
        let told = std::mem::take(&mut s.classes);
        s.classes = std::mem::take(&mut self.s.classes);
        for (index, class) in s.classes.iter().enumerate() {
            // The one without a name, for what is not known, stays.
            if !class.name.is_empty() && !told.contains(class) {
                self.retired.insert(index);
            }
        }
        for class in told {
            let held = s.classes.iter().rposition(|c| *c == class);
            if let Some(index) = held {
                // Also one that went and comes again as it was.
                self.retired.remove(&index);
                continue;
            }
            let before = s.classes.iter().rposition(|c| c.name == class.name);
            self.seen.push(before.map_or(class.first_guess(SEEN_PRIOR), |index| self.seen[index]));
            s.classes.push(class);
        }
        let plans = std::mem::take(&mut s.plans);
        s.plans = std::mem::take(&mut self.s.plans);
        for plan in plans {
            match s.plans.iter_mut().find(|p| p.name == plan.name) {
                Some(held) => *held = plan,
                None => s.plans.push(plan),
            }
        }
        self.s = s;
        self.table_until = self.now;
    }
}
