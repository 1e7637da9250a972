//! Properties of plans for arbitrary sites, loads and failover targets, and errors of the settings.

use super::settings::{FailoverTarget, LoadClass, Site, SiteSettings};
use crate::operators::OperatorSettings;
use proptest::prelude::*;

fn class(name: &str, load_fraction: f64, shed_order: u32, must_serve: bool) -> LoadClass {
    LoadClass { name: name.into(), load_fraction, shed_order, must_serve }
}

fn load_classes() -> Vec<LoadClass> {
    vec![
        class("beyond", 0.1, 1, false),
        class("standard preview", 0.4, 2, false),
        class("cabinet preview", 0.3, 3, false),
        class("issue", 0.2, 4, true),
    ]
}

fn sites() -> impl Strategy<Value = SiteSettings> {
    let target = |count: usize| {
        (0..count, 0.1..5.0f64, 1..3u32).prop_map(|(site, weight, priority)| FailoverTarget {
            site,
            weight,
            priority,
        })
    };
    (2..7usize).prop_flat_map(move |count| {
        let site = (1.0..200.0f64, 0.0..1.3f64, 0.3..1.0f64, proptest::collection::vec(target(count), 0..4));
        proptest::collection::vec(site, count).prop_map(|all| {
            let build = |(index, (capacity, utilization, max_utilization, mut targets)): (
                usize,
                (f64, f64, f64, Vec<FailoverTarget>),
            )| {
                targets.retain(|target| target.site != index);
                targets.sort_by_key(|target| target.site);
                targets.dedup_by_key(|target| target.site);
                Site {
                    name: format!("s{index}"),
                    zones: vec![format!("hall-{index}")],
                    capacity,
                    load: utilization * capacity,
                    max_utilization,
                    failover_targets: targets,
                }
            };
            let sites = all.into_iter().enumerate().map(build).collect();
            SiteSettings { load_classes: load_classes(), sites }
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// For any loss: offered load equals load served plus load shed, no remaining site exceeds its maximum
    /// utilization, lost sites serve nothing, and a class is shed only after all classes before it are shed
    /// completely.
    #[test]
    fn a_plan_accounts_for_all_load(settings in sites(), first in 0..7usize, second in 0..7usize) {
        let mut lost = vec![first % settings.sites.len(), second % settings.sites.len()];
        lost.dedup();
        let loss = settings.plan_loss(&lost);
        let offered: f64 = settings.sites.iter().map(|site| site.load).sum();
        let (served, shed): (f64, f64) = (loss.load_after.iter().sum(), loss.shed.iter().sum());
        prop_assert!((offered - served - shed).abs() < 1e-6 * (1.0 + offered), "{} {} {}", offered, served, shed);
        for (index, site) in settings.sites.iter().enumerate() {
            prop_assert!(loss.load_after[index] <= site.max_utilization * site.capacity + 1e-6, "{:?}", loss);
            prop_assert!(!lost.contains(&index) || loss.load_after[index] == 0.0);
        }
        for n in 1..settings.load_classes.len() {
            let previous_is_shed_completely =
                (loss.shed_fraction[n - 1] - settings.load_classes[n - 1].load_fraction).abs() < 1e-9;
            prop_assert!(loss.shed[n] < 1e-9 || previous_is_shed_completely, "{:?}", loss.shed_fraction);
        }
        for (nth, lost_site) in lost.iter().enumerate() {
            let moved: f64 = loss.moved[nth].iter().sum();
            prop_assert!(moved <= settings.sites[*lost_site].load + 1e-6);
        }
    }

    /// A larger capacity of any site never increases the load that is shed.
    #[test]
    fn more_capacity_never_sheds_more(settings in sites(), lost in 0..7usize, at in 0..7usize) {
        let (lost, larger) = ([lost % settings.sites.len()], at % settings.sites.len());
        let before: f64 = settings.plan_loss(&lost).shed.iter().sum();
        let mut enlarged = settings;
        enlarged.sites[larger].capacity *= 1.5;
        let after: f64 = enlarged.plan_loss(&lost).shed.iter().sum();
        prop_assert!(after <= before + 1e-6, "{} {}", before, after);
    }
}

const FILE: &str = "sites: {
	kind: {
		beyond: { part: 0.1, refuse: 1 }
		\"standard preview\": { part: 0.5, refuse: 2 }
		issue: { part: 0.4, refuse: 3, must: true }
	}
	site: {
		cluj: { halls: [\"hall-a\", \"hall-b\"], capacity: 100, load: 60, to: { arad: { weight: 2 }, deva: {} } }
		arad: { halls: [\"hall-c\"], capacity: 80, load: 40, to: { cluj: {}, deva: { order: 2 } } }
		deva: { halls: [\"hall-d\"], capacity: 40, load: 30, to: { cluj: {} } }
	}
}";

#[test]
fn a_plan_moves_and_sheds_load_as_the_settings_say() {
    let settings = OperatorSettings::load(FILE).unwrap().sites.unwrap();
    // Loss of cluj (60 units/s): of the 40 for arad 28 fit, of the rest 4 fit at deva, and 28 are left.
    let loss = settings.plan_loss(&[0]);
    assert!((loss.moved[0][1] - 28.0).abs() < 1e-6 && (loss.moved[0][2] - 4.0).abs() < 1e-6, "{loss:?}");
    assert!((loss.shed.iter().sum::<f64>() - 28.0).abs() < 1e-6, "{loss:?}");
    assert!(
        (loss.shed[0] - 13.0).abs() < 1e-6 && (loss.shed[1] - 15.0).abs() < 1e-6,
        "the first class, a tenth of all 130 units/s, is shed first: {loss:?}"
    );
    // Loss of arad (40 units/s): cluj takes as much as fits, deva some of the rest.
    let loss = settings.plan_loss(&[1]);
    assert!((loss.moved[0][0] - 25.0).abs() < 1e-6 && (loss.moved[0][2] - 4.0).abs() < 1e-6, "{loss:?}");
    let plan = settings.plan_all_losses();
    assert_eq!(plan.losses.len(), 6);
    assert!(!plan.is_feasible(), "deva alone cannot serve the required class of all sites");
    let description = plan.describe();
    assert!(
        description.contains("cluj lost:") && description.contains("cluj and arad lost:"),
        "{description}"
    );
    assert!(description.contains("28.0 from cluj") && description.contains("MUST NOT BE"), "{description}");
}

#[test]
fn invalid_settings_are_rejected_with_line_and_field() {
    for (valid, invalid, expected) in [
        (
            "halls: [\"hall-c\"]",
            "halls: [\"hall-a\"]",
            "9:18: sites.site.arad.halls: \"hall-a\" already belongs to \"cluj\"",
        ),
        ("halls: [\"hall-c\"]", "halls: []", "at least one hall"),
        (
            "to: { cluj: {} } }\n",
            "to: { deva: {} } }\n",
            "sites.site.deva.to.deva: a lost site cannot take its own load",
        ),
        (
            "to: { cluj: {} } }\n",
            "to: { iasi: {} } }\n",
            "sites.site.deva.to.iasi: is not a site of this file",
        ),
        ("weight: 2", "weight: 0", "weight: must be above 0"),
        ("part: 0.5", "part: 0.6", "add up to 1.1"),
        ("refuse: 2", "refuse: 1", "\"beyond\" already has this place"),
        ("capacity: 100, ", "", "sites.site.cluj.capacity: required field is missing"),
        ("capacity: 100", "capacity: 0", "out of range"),
        ("refuse: 2", "refus: 2", "unknown field"),
    ] {
        assert!(FILE.contains(valid), "{valid}");
        let messages: Vec<String> = OperatorSettings::load(&FILE.replacen(valid, invalid, 1))
            .unwrap_err()
            .iter()
            .map(ToString::to_string)
            .collect();
        assert!(messages.iter().any(|line| line.contains(expected)), "{expected}: {messages:?}");
        assert!(
            messages.iter().all(|line| line.split(':').next().is_some_and(|n| n.parse::<u32>().is_ok())),
            "{messages:?}"
        );
    }
}
