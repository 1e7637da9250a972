use super::*;

#[test]
fn settings_read_with_defaults_and_name_every_error() {
    assert_eq!(QuotaSettings::load("").unwrap(), None);
    let settings = QuotaSettings::load("counter: { parts: 2, fade: 10 }").unwrap().unwrap();
    assert_eq!(
        (settings.partitions, settings.share_decay_secs, settings.resend_secs),
        (2, 10.0, QuotaSettings::default().resend_secs)
    );
    assert!(settings.describe().contains("2 part(s)"));
    let invalid = "counter: {\n  parts: 0\n  span: \"x\"\n  guard: 1\n  pats: 2\n}";
    let errors: Vec<String> =
        QuotaSettings::load(invalid).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(errors.len(), 4, "{errors:?}");
    assert!(errors[0].starts_with("2:10: counter.parts: 0 is out of range"), "{errors:?}");
    assert!(errors[3].contains("counter.pats: unknown field"), "{errors:?}");
}
