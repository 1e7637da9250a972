//! The plan's properties, for any sites, loads and ways; and what the settings refuse.

use super::settings::{FailoverTarget, LoadClass, Site, SiteSettings};
use crate::operators::OperatorSettings;
use proptest::prelude::*;

fn kind(name: &str, part: f64, refuse: u32, must: bool) -> LoadClass {
    LoadClass { name: name.into(), load_fraction: part, shed_order: refuse, must_serve: must }
}

fn kinds() -> Vec<LoadClass> {
    vec![
        kind("beyond", 0.1, 1, false),
        kind("standard preview", 0.4, 2, false),
        kind("cabinet preview", 0.3, 3, false),
        kind("issue", 0.2, 4, true),
    ]
}

fn sites() -> impl Strategy<Value = SiteSettings> {
    let way = |count: usize| {
        (0..count, 0.1..5.0f64, 1..3u32).prop_map(|(to, weight, order)| FailoverTarget {
            site: to,
            weight,
            priority: order,
        })
    };
    (2..7usize).prop_flat_map(move |count| {
        let site = (1.0..200.0f64, 0.0..1.3f64, 0.3..1.0f64, proptest::collection::vec(way(count), 0..4));
        proptest::collection::vec(site, count).prop_map(|all| {
            let one =
                |(at, (capacity, load, most, mut ways)): (usize, (f64, f64, f64, Vec<FailoverTarget>))| {
                    ways.retain(|way| way.site != at);
                    ways.sort_by_key(|way| way.site);
                    ways.dedup_by_key(|way| way.site);
                    let halls = vec![format!("hall-{at}")];
                    Site {
                        name: format!("s{at}"),
                        zones: halls,
                        capacity,
                        load: load * capacity,
                        max_utilization: most,
                        failover_targets: ways,
                    }
                };
            SiteSettings { load_classes: kinds(), sites: all.into_iter().enumerate().map(one).collect() }
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Whatever is lost: load given is load taken and refused, no survivor passes its bound, the lost take nothing, and
    /// a kind is refused only once all before it are.
    #[test]
    fn a_plan_accounts_for_all_load(s in sites(), first in 0..7usize, second in 0..7usize) {
        let mut lost = vec![first % s.sites.len(), second % s.sites.len()];
        lost.dedup();
        let p = s.plan_loss(&lost);
        let given: f64 = s.sites.iter().map(|site| site.load).sum();
        let (taken, refused): (f64, f64) = (p.load_after.iter().sum(), p.shed.iter().sum());
        prop_assert!((given - taken - refused).abs() < 1e-6 * (1.0 + given), "{} {} {}", given, taken, refused);
        for (at, site) in s.sites.iter().enumerate() {
            prop_assert!(p.load_after[at] <= site.max_utilization * site.capacity + 1e-6, "{:?}", p);
            prop_assert!(!lost.contains(&at) || p.load_after[at] == 0.0);
        }
        for n in 1..s.load_classes.len() {
            let whole = (p.shed_fraction[n - 1] - s.load_classes[n - 1].load_fraction).abs() < 1e-9;
            prop_assert!(p.shed[n] < 1e-9 || whole, "{:?}", p.shed_fraction);
        }
        for (nth, at) in lost.iter().enumerate() {
            let moved: f64 = p.moved[nth].iter().sum();
            prop_assert!(moved <= s.sites[*at].load + 1e-6);
        }
    }

    /// More room never refuses more.
    #[test]
    fn more_room_never_refuses_more(s in sites(), lost in 0..7usize, at in 0..7usize) {
        let (lost, at) = ([lost % s.sites.len()], at % s.sites.len());
        let before: f64 = s.plan_loss(&lost).shed.iter().sum();
        let mut roomier = s;
        roomier.sites[at].capacity *= 1.5;
        let after: f64 = roomier.plan_loss(&lost).shed.iter().sum();
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
fn a_plan_is_read_and_told() {
    let s = OperatorSettings::load(FILE).unwrap().sites.unwrap();
    // Cluj's 60: 40 to arad, of which 28 fit, 4 to deva, which is full then; 28 have no place.
    let p = s.plan_loss(&[0]);
    assert!((p.moved[0][1] - 28.0).abs() < 1e-6 && (p.moved[0][2] - 4.0).abs() < 1e-6, "{p:?}");
    assert!((p.shed.iter().sum::<f64>() - 28.0).abs() < 1e-6, "{p:?}");
    assert!(
        (p.shed[0] - 13.0).abs() < 1e-6 && (p.shed[1] - 15.0).abs() < 1e-6,
        "a tenth of all 130 first: {p:?}"
    );
    // Arad's 40 go to cluj as far as it takes them, the rest to deva.
    let p = s.plan_loss(&[1]);
    assert!((p.moved[0][0] - 25.0).abs() < 1e-6 && (p.moved[0][2] - 4.0).abs() < 1e-6, "{p:?}");
    let plan = s.plan_all_losses();
    assert_eq!(plan.losses.len(), 6);
    assert!(!plan.is_feasible(), "deva alone cannot carry the issues of all");
    let said = plan.describe();
    assert!(said.contains("cluj lost:") && said.contains("cluj and arad lost:"), "{said}");
    assert!(said.contains("28.0 from cluj") && said.contains("MUST NOT BE"), "{said}");
}

#[test]
fn what_has_no_meaning_is_refused_by_line_and_field() {
    for (from, to, why) in [
        (
            "halls: [\"hall-c\"]",
            "halls: [\"hall-a\"]",
            "9:18: sites.site.arad.halls: \"hall-a\" is in \"cluj\" already",
        ),
        ("halls: [\"hall-c\"]", "halls: []", "one hall at least"),
        (
            "to: { cluj: {} } }\n",
            "to: { deva: {} } }\n",
            "sites.site.deva.to.deva: a lost site cannot take its own load",
        ),
        ("to: { cluj: {} } }\n", "to: { iasi: {} } }\n", "sites.site.deva.to.iasi: is no site of this file"),
        ("weight: 2", "weight: 0", "weight: must be above 0"),
        ("part: 0.5", "part: 0.6", "add up to 1.1"),
        ("refuse: 2", "refuse: 1", "\"beyond\" has this place"),
        ("capacity: 100, ", "", "sites.site.cluj.capacity: must be given"),
        ("capacity: 100", "capacity: 0", "out of range"),
        ("refuse: 2", "refus: 2", "is no known field"),
    ] {
        assert!(FILE.contains(from), "{from}");
        let said: Vec<String> = OperatorSettings::load(&FILE.replacen(from, to, 1))
            .unwrap_err()
            .iter()
            .map(ToString::to_string)
            .collect();
        assert!(said.iter().any(|line| line.contains(why)), "{why}: {said:?}");
        assert!(
            said.iter().all(|line| line.split(':').next().is_some_and(|n| n.parse::<u32>().is_ok())),
            "{said:?}"
        );
    }
}
