//! Tests of the settings of a fleet.

use super::*;

#[test]
fn defaults_apply_and_every_error_names_its_field() {
    assert_eq!(FleetSettings::load("").unwrap(), None);
    let text = "fleet: { cluster: \"cluj\", listen: \"127.0.0.1:7000\", seeds: [\"127.0.0.1:7001\"] }";
    let settings = FleetSettings::load(text).unwrap().unwrap();
    assert_eq!(
        (settings.cluster.as_str(), settings.seeds.len(), settings.fanout, settings.advertise),
        ("cluj", 1, 2, None)
    );
    let invalid =
        "fleet: {\n  listen: \"here\"\n  seeds: [\"127.0.0.1:1\", \"127.0.0.1:1\", \"x\"]\n  round: 0\n  advertise: \"127.0.0.1:0\"\n}";
    let messages: Vec<String> =
        FleetSettings::load(invalid).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 6, "{messages:?}");
    assert!(messages.iter().any(|message| message.contains("fleet.cluster")), "{messages:?}");
    assert!(
        messages.iter().any(|message| message.starts_with("2:") && message.contains("fleet.listen")),
        "{messages:?}"
    );
    assert!(
        messages.iter().any(|message| message.starts_with("5:") && message.contains("others can reach")),
        "{messages:?}"
    );
    assert!(
        messages.iter().any(|message| message.starts_with("3:") && message.contains("listed twice")),
        "{messages:?}"
    );
}

#[test]
fn budgets_are_off_by_default_and_errors_name_their_field() {
    let read = |budgets: &str| {
        let text = format!("fleet: {{ cluster: \"cluj\", listen: \"127.0.0.1:7000\"\n{budgets} }}");
        FleetSettings::load(&text).map(|settings| settings.unwrap().budgets)
    };
    assert_eq!(read("").unwrap(), None);
    let defaults = BudgetSettings { floor: 0.5, lease_secs: 2.0, clock_margin_secs: 0.25 };
    assert_eq!(read("budgets: {}").unwrap(), Some(defaults));
    for (invalid, expected) in [
        ("budgets: { floor: 1.5 }", "exceed the budget"),
        ("budgets: { floor: \"half\" }", "floor"),
        ("budgets: { term: 1, margin: 1 }", "longer than `margin`"),
        ("budgets: { term: 0 }", "term"),
        ("budgets: { margin: 0 }", "margin"),
        ("budgets: { flor: 1 }", "unknown field"),
    ] {
        let messages: Vec<String> = read(invalid).unwrap_err().iter().map(ToString::to_string).collect();
        assert!(messages[0].starts_with("2:") && messages[0].contains(expected), "{invalid}: {messages:?}");
        assert!(messages[0].contains("fleet.budgets"), "{messages:?}");
    }
}
