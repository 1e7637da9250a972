//! How large a share of a budget each holder should have: max-min fair by demand, with the surplus spread evenly.
//! Shares sum to at most the whole budget.

use super::{Ppm, TOTAL_PPM};

/// A holder that must shrink its share keeps one part in this many of the excess at each grant.
const SHRINK_DIVISOR: Ppm = 4;
/// A difference below this from the target share is closed at once.
const CLOSE_ENOUGH_PPM: Ppm = TOTAL_PPM / 1000;

/// Shares for these demands, in their order. A demand below an even share is met; the other holders divide evenly
/// what that leaves. A surplus that no holder demands is spread evenly over all of them.
pub fn max_min_fair(demands: &[Ppm]) -> Vec<Ppm> {
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by_key(|n| demands[*n]);
    let (mut shares, mut left) = (vec![0; demands.len()], TOTAL_PPM);
    for (served, n) in by_demand.iter().enumerate() {
        shares[*n] = demands[*n].min(left / (demands.len() - served) as u64);
        left -= shares[*n];
    }
    let surplus = left / demands.len().max(1) as u64;
    shares.iter_mut().for_each(|share| *share += surplus);
    shares
}

/// The next share of a holder that may use `current`, on the way to `target`, with `available` free beside the shares
/// of all other holders. A share grows at once, and shrinks by three quarters of the difference.
pub fn next_share(current: Ppm, target: Ppm, available: Ppm) -> Ppm {
    let share = if target >= current { target } else { target + (current - target) / SHRINK_DIVISOR };
    let share = if share.abs_diff(target) < CLOSE_ENOUGH_PPM { target } else { share };
    share.min(available)
}

#[cfg(test)]
#[path = "share_tests.rs"]
mod tests;
