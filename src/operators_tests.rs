//! Tests of complete settings files.

use super::*;

#[test]
fn any_known_records_are_read_and_others_rejected() {
    assert_eq!(OperatorSettings::load(""), Ok(OperatorSettings::default()));
    let both = OperatorSettings::load("halls: { notice: 1 }\ncounter: { parts: 2 }").unwrap();
    assert!(both.zone_failover.is_some() && both.counter.as_ref().is_some_and(|c| c.partitions == 2));
    assert!(both.describe().contains("2 part(s)"));
    let errors = OperatorSettings::load("conter: { parts: 2 }\ncounter: { parts: 65 }").unwrap_err();
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 2, "{messages:?}");
    assert!(messages[0].contains("conter: unknown field"), "{messages:?}");
}
