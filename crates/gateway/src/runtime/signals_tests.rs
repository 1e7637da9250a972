//! Tests of the detection of a changed settings file without a signal.

use crate::runtime::signals::{FileStamp, FileWatch};
use googletest::prelude::*;
use std::time::{Duration, SystemTime};

fn at(ms: u64, length: u64) -> FileStamp {
    Some((SystemTime::UNIX_EPOCH + Duration::from_millis(ms), length))
}

#[gtest]
fn a_changed_file_is_loaded_once_it_is_stable() {
    let mut watch = FileWatch::new(at(0, 100));
    expect_that!(watch.observe(at(0, 100)), eq(false), "the file is unchanged");
    // The file is written in steps, two of which fall on the same modification time.
    for stamp in [at(10, 0), at(10, 40), at(11, 80), at(12, 120)] {
        expect_that!(watch.observe(stamp), eq(false), "{stamp:?}");
    }
    expect_that!(watch.observe(at(12, 120)), eq(true));
    expect_that!(watch.observe(at(12, 120)), eq(false), "once only");
    // The file is missing while it is replaced.
    expect_that!(watch.observe(None), eq(false));
    expect_that!(watch.observe(at(13, 120)), eq(false));
    expect_that!(watch.observe(at(13, 120)), eq(true));
    // A signal loads the file at once, so no load is due afterwards.
    expect_that!(watch.observe(at(14, 120)), eq(false));
    watch.mark_loaded(at(14, 120));
    expect_that!(watch.observe(at(14, 120)), eq(false));
    // The removal of the file is reported once.
    expect_that!([watch.observe(None), watch.observe(None), watch.observe(None)], eq([false, true, false]));
}
