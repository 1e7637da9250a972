//! Loss of power while a snapshot is written or sent, or while the log is compacted, with changes in flight; then another
//! disk is lost. The snapshot takes several chunks.

use googletest::prelude::*;
use whinstall_simulation::operators::OperatorLoad;
use whinstall_simulation::severe_faults::{CrashTarget, SevereFault, SnapshotCrash, SnapshotStage};
use whinstall_simulation::trials::{control, severe, trial, wiped, FaultSchedule};
use whinstall_simulation::DeploymentPlan;

/// A snapshot of five chunks, and changes so large that the log is compacted every few seconds.
fn plan() -> DeploymentPlan {
    let operator_load = OperatorLoad {
        operators: 4,
        at_once: 2,
        pause: 1.0,
        resend_fraction: 0.05,
        twin_fraction: 0.0,
        shared_key_fraction: 0.0,
        ..OperatorLoad::default()
    };
    let operator_load =
        OperatorLoad { note: 16 * 1024, lost_fraction: 0.02, until: 18.0, reads: 0.5, ..operator_load };
    DeploymentPlan { length: 32.0, bulk: 300, operator_load, disk_rate: 10e6, ..control(3, 1) }
}

fn crash_at_stage(
    stage: SnapshotStage,
    nth: usize,
    target: CrashTarget,
    down: f64,
    wipe_next: bool,
) -> SevereFault {
    SevereFault::AtSnapshot(SnapshotCrash { stage, nth, target, down, wipe_next })
}

#[gtest]
fn power_loss_between_chunks_of_a_snapshot_write() {
    trial(14_500..14_503, |seed, rng| {
        let target = if seed % 3 == 2 { CrashTarget::All } else { CrashTarget::Owner };
        let lost = |from: f64, rng: &mut fastrand::Rng, wipe_next| {
            severe(
                from,
                crash_at_stage(
                    SnapshotStage::ChunkWritten,
                    1 + rng.usize(0..6),
                    target,
                    0.3 + rng.f64(),
                    wipe_next,
                ),
            )
        };
        (plan(), vec![lost(4.0, rng, false), lost(8.0, rng, true)])
    });
}

#[gtest]
fn power_loss_between_snapshot_and_log_compaction() {
    trial(14_600..14_603, |seed, rng| {
        let target = if seed % 3 == 2 { CrashTarget::All } else { CrashTarget::Owner };
        let lost = |from: f64, rng: &mut fastrand::Rng, wipe_next| {
            severe(
                from,
                crash_at_stage(
                    SnapshotStage::LogCompacted,
                    1 + rng.usize(0..3),
                    target,
                    0.3 + rng.f64(),
                    wipe_next,
                ),
            )
        };
        (plan(), vec![lost(4.0, rng, false), lost(8.0, rng, true)])
    });
}

/// A core node lost its disk. While it receives a snapshot the sender, the receiver or all nodes lose power, twice.
pub(super) fn crashes_while_sending(seed: u64, rng: &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule) {
    let target = [CrashTarget::Owner, CrashTarget::Receiver, CrashTarget::All][seed as usize % 3];
    let core = rng.usize(0..3);
    let lost = |rng: &mut fastrand::Rng, wipe_next| {
        crash_at_stage(SnapshotStage::ChunkSent, 1 + rng.usize(0..5), target, 0.8, wipe_next)
    };
    // The rest of the snapshot is sent again.
    let days = vec![wiped(6.0, core, 0.5), severe(6.1, lost(rng, false)), severe(7.0, lost(rng, true))];
    (plan(), days)
}

#[gtest]
fn power_loss_while_a_snapshot_is_sent() {
    trial(14_700..14_706, crashes_while_sending);
}
