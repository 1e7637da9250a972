use super::*;

/// A node that rejects an invalid request with a 4xx status is healthy: the response must not lower the node's
/// health, and it does not prove that the request never ran.
#[test]
fn a_client_error_does_not_affect_node_health() {
    let outcome = ExchangeOutcome::ClientError;
    assert_eq!(outcome.to_ending(UpstreamKind::Node), Ending::Cancelled);
    assert!(!outcome.to_ending(UpstreamKind::Node).never_ran());
    assert_eq!(outcome.to_ending(UpstreamKind::Counter), Ending::Full);
}

/// A slow response or an immediate refusal must not count as a timeout of the zone.
#[test]
fn only_the_detection_timeout_counts_as_a_timeout() {
    let (short, long, detection_timeout) =
        (Duration::from_millis(5), Duration::from_secs(1), Duration::from_millis(600));
    assert_eq!(
        ExchangeOutcome::UnexpectedStatus.zone_observation(long, detection_timeout),
        Some(Observation::Responded)
    );
    assert_eq!(
        ExchangeOutcome::NotSent.zone_observation(short, detection_timeout),
        Some(Observation::Refused)
    );
    assert_eq!(
        ExchangeOutcome::NotSent.zone_observation(long, detection_timeout),
        Some(Observation::TimedOut)
    );
    assert_eq!(ExchangeOutcome::TimedOut { written: true }.zone_observation(short, detection_timeout), None);
    assert_eq!(
        ExchangeOutcome::TimedOut { written: false }.zone_observation(long, detection_timeout),
        Some(Observation::TimedOut)
    );
    assert_eq!(ExchangeOutcome::Cancelled { written: true }.zone_observation(long, detection_timeout), None);
}
