//! When a settings file that changes without a signal is read.

use crate::runtime::signals::{FileStamp, FileWatch};
use googletest::prelude::*;
use std::time::{Duration, SystemTime};

fn at(ms: u64, length: u64) -> FileStamp {
    Some((SystemTime::UNIX_EPOCH + Duration::from_millis(ms), length))
}

#[gtest]
fn a_changed_file_is_loaded_once_it_is_stable() {
    let mut watch = FileWatch::new(at(0, 100));
    expect_that!(watch.observe(at(0, 100)), eq(false), "it did not change");
    // Written in steps: also two within the same moment of the disk's clock.
    for stamp in [at(10, 0), at(10, 40), at(11, 80), at(12, 120)] {
        expect_that!(watch.observe(stamp), eq(false), "{stamp:?}");
    }
    expect_that!(watch.observe(at(12, 120)), eq(true));
    expect_that!(watch.observe(at(12, 120)), eq(false), "once only");
    // Away while it is replaced, and back as another.
    expect_that!(watch.observe(None), eq(false));
    expect_that!(watch.observe(at(13, 120)), eq(false));
    expect_that!(watch.observe(at(13, 120)), eq(true));
    // A signal tells at once: nothing is left to be read after it.
    expect_that!(watch.observe(at(14, 120)), eq(false));
    watch.mark_loaded(at(14, 120));
    expect_that!(watch.observe(at(14, 120)), eq(false));
    // Away for good: said once.
    expect_that!([watch.observe(None), watch.observe(None), watch.observe(None)], eq([false, true, false]));
}
