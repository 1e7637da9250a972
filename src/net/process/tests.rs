use super::configuration::LoadedConfiguration;
use super::descriptors::{DescriptorBudget, MIN_DESCRIPTORS, RESERVED_DESCRIPTORS};

/// Descriptors must not run out, and clients must have the third that they are entitled to.
#[test]
fn the_budget_holds_and_clients_have_their_third() {
    for descriptors in [MIN_DESCRIPTORS, 192, 256, 384, 1024] {
        let b = DescriptorBudget::new(descriptors);
        assert_eq!(b.clients + b.counter + b.nodes + RESERVED_DESCRIPTORS, descriptors);
        assert!(b.clients > descriptors / 3 + 4 && b.nodes >= descriptors / 5 && b.counter >= 8, "{b:?}");
    }
}

/// The example configuration must remain valid.
#[test]
fn the_example_configuration_is_usable() {
    let loaded = LoadedConfiguration::parse(include_bytes!("../../../example/config.json"));
    let loaded = loaded.expect("a valid configuration");
    assert_eq!((loaded.fields.name.as_str(), loaded.settings.plans.len()), ("g0", 2));
}
