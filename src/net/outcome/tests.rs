use super::*;

/// Nodes must not suffer from clients whose requests they reject: such a response neither counts against a node's
/// health nor proves that nothing ran.
#[test]
fn a_client_error_says_nothing_about_the_node() {
    let outcome = ExchangeOutcome::ClientError;
    assert_eq!(outcome.to_ending(UpstreamKind::Node), Ending::Cancelled);
    assert!(!outcome.to_ending(UpstreamKind::Node).never_ran());
    assert_eq!(outcome.to_ending(UpstreamKind::Counter), Ending::Full);
}

/// Neither a slow response nor a quick refusal may be taken for a zone that is cut off.
#[test]
fn only_long_silence_is_silence() {
    let (short, long, silence) =
        (Duration::from_millis(5), Duration::from_secs(1), Duration::from_millis(600));
    assert_eq!(
        ExchangeOutcome::UnexpectedStatus.zone_observation(long, silence),
        Some(Observation::Responded)
    );
    assert_eq!(ExchangeOutcome::NotSent.zone_observation(short, silence), Some(Observation::Refused));
    assert_eq!(ExchangeOutcome::NotSent.zone_observation(long, silence), Some(Observation::TimedOut));
    assert_eq!(ExchangeOutcome::TimedOut { written: true }.zone_observation(short, silence), None);
    assert_eq!(
        ExchangeOutcome::TimedOut { written: false }.zone_observation(long, silence),
        Some(Observation::TimedOut)
    );
    assert_eq!(ExchangeOutcome::Cancelled { written: true }.zone_observation(long, silence), None);
}
