//! Replacement of the settings of a running gateway. Open requests keep the class and the number of attempts of their
//! arrival. Nothing here decides on a request.

use crate::gateway::attempts::INITIAL_ANSWERS;
use crate::gateway::interface::Settings;
use crate::gateway::state::{sanitize_settings, Gateway};

impl Gateway {
    /// Applies these settings to all requests that arrive from now on. Open requests refer to classes by index, so a
    /// class that is removed or changed keeps its index, and its replacement gets a new one.
    pub fn update_settings(&mut self, settings: Settings) {
        let mut settings = sanitize_settings(settings);
        let new_classes = std::mem::take(&mut settings.classes);
        settings.classes = std::mem::take(&mut self.settings.classes);
        for (index, class) in settings.classes.iter().enumerate() {
            // The class without a name stands for unknown ones and always remains.
            if !class.name.is_empty() && !new_classes.contains(class) {
                self.retired_classes.insert(index);
            }
        }
        for class in new_classes {
            let existing = settings.classes.iter().rposition(|c| *c == class);
            if let Some(index) = existing {
                // The class may have been retired before and is now used again unchanged.
                self.retired_classes.remove(&index);
                continue;
            }
            let replaced = settings.classes.iter().rposition(|c| c.name == class.name);
            let stats =
                replaced.map_or(class.initial_stats(INITIAL_ANSWERS), |index| self.class_stats[index]);
            self.class_stats.push(stats);
            settings.classes.push(class);
        }
        let new_plans = std::mem::take(&mut settings.plans);
        settings.plans = std::mem::take(&mut self.settings.plans);
        for plan in new_plans {
            match settings.plans.iter_mut().find(|p| p.name == plan.name) {
                Some(existing) => *existing = plan,
                None => settings.plans.push(plan),
            }
        }
        self.settings = settings;
        self.draw_tables_valid_until = self.now;
    }
}
