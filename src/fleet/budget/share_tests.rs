//! Tests of the computation of shares.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn shares_are_max_min_fair(demands in proptest::collection::vec(0..2 * TOTAL_PPM, 1..40)) {
        let shares = max_min_fair(&demands);
        let sum: Ppm = shares.iter().sum();
        prop_assert!(sum <= TOTAL_PPM && sum > TOTAL_PPM - demands.len() as u64 * 2, "{}", sum);
        let largest = *shares.iter().max().expect("one");
        for (demand, share) in demands.iter().zip(&shares) {
            // A holder with less than its demand has no less than any other.
            prop_assert!(share >= demand || share + 1 >= largest, "{} of {}, largest {}", share, demand, largest);
        }
    }

    /// With constant demands, shares converge from any state to the fair ones within 14 rounds.
    #[test]
    fn shares_converge(demands in proptest::collection::vec(0..2 * TOTAL_PPM, 2..12), first in 0..TOTAL_PPM) {
        let target = max_min_fair(&demands);
        let mut shares = vec![0; demands.len()];
        shares[0] = first;
        for _ in 0..14 {
            for n in 0..shares.len() {
                let others: Ppm = shares.iter().enumerate().filter(|(m, _)| *m != n).map(|(_, p)| p).sum();
                shares[n] = next_share(shares[n], target[n], TOTAL_PPM - others);
            }
            prop_assert!(shares.iter().sum::<Ppm>() <= TOTAL_PPM);
        }
        prop_assert_eq!(shares, target);
    }
}

#[test]
fn small_demands_are_met_and_the_rest_goes_to_larger_ones() {
    assert_eq!(max_min_fair(&[100_000, 2_000_000, 700_000]), [100_000, 450_000, 450_000]);
    assert_eq!(max_min_fair(&[0, 0]), [500_000, 500_000]);
    assert_eq!(max_min_fair(&[]), Vec::<Ppm>::new());
}
