//! How much of a whole each ought to have: max-min fair by what each wants, the rest spread, and shrinking by three quarters at a time. It
//! must never add up to more than the whole.

use super::{Ppm, TOTAL_PPM};

/// Parts for these wants, in their order. Who wants less than an even part has what it wants; the others share evenly
/// what that leaves; what nobody wants is spread evenly over all that ask.
pub fn max_min_fair(wants: &[Ppm]) -> Vec<Ppm> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|n| wants[*n]);
    let (mut parts, mut left) = (vec![0; wants.len()], TOTAL_PPM);
    for (nth, n) in order.iter().enumerate() {
        parts[*n] = wants[*n].min(left / (wants.len() - nth) as u64);
        left -= parts[*n];
    }
    let spread = left / wants.len().max(1) as u64;
    parts.iter_mut().for_each(|part| *part += spread);
    parts
}

/// What one that has `counted` is given next on its way to `target`, with `room` beside what all others have: at once
/// where it grows, by three quarters of the way where it shrinks.
pub fn next_share(counted: Ppm, target: Ppm, room: Ppm) -> Ppm {
    let part = if target >= counted { target } else { target + (counted - target) / 4 };
    // The last thousandth is not worth another round.
    let part = if part.abs_diff(target) < TOTAL_PPM / 1000 { target } else { part };
    part.min(room)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn parts_are_max_min_fair(wants in proptest::collection::vec(0..2 * TOTAL_PPM, 1..40)) {
            let parts = max_min_fair(&wants);
            let sum: Ppm = parts.iter().sum();
            prop_assert!(sum <= TOTAL_PPM && sum > TOTAL_PPM - wants.len() as u64 * 2, "{}", sum);
            let most = *parts.iter().max().expect("one");
            for (want, part) in wants.iter().zip(&parts) {
                // Who has less than it wants has no less than anybody.
                prop_assert!(part >= want || part + 1 >= most, "{} of {}, most {}", part, want, most);
            }
        }

        /// Steady wants: from any parts to the fair ones within a dozen rounds, and there they stay.
        #[test]
        fn parts_converge(wants in proptest::collection::vec(0..2 * TOTAL_PPM, 2..12), first in 0..TOTAL_PPM) {
            let target = max_min_fair(&wants);
            let mut parts = vec![0; wants.len()];
            parts[0] = first;
            for _ in 0..14 {
                for n in 0..parts.len() {
                    let others: Ppm = parts.iter().enumerate().filter(|(m, _)| *m != n).map(|(_, p)| p).sum();
                    parts[n] = next_share(parts[n], target[n], TOTAL_PPM - others);
                }
                prop_assert!(parts.iter().sum::<Ppm>() <= TOTAL_PPM);
            }
            prop_assert_eq!(parts, target);
        }
    }

    #[test]
    fn who_wants_little_has_it_and_the_rest_goes_to_who_wants_more() {
        assert_eq!(max_min_fair(&[100_000, 2_000_000, 700_000]), [100_000, 450_000, 450_000]);
        assert_eq!(max_min_fair(&[0, 0]), [500_000, 500_000]);
        assert_eq!(max_min_fair(&[]), Vec::<Ppm>::new());
    }
}
