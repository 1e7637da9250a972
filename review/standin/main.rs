#![allow(dead_code)]
//! The cases of this review that are scripts. Usage: standin CASE RECORD, from the root of the repository. Exits with 1
//! if the rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0`: the same without the disruption.

mod kit;

mod departure;
mod keyed_bid;
mod lowered_quota;
mod starved_route;

use kit::{Record, COULD_NOT_RUN};
use std::path::Path;
use std::time::Duration;

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(COULD_NOT_RUN);
    };
    let record = Record::new(Path::new(path));
    let case = case.clone();
    let (sender, receiver) = std::sync::mpsc::channel();
    let in_thread = record.clone();
    std::thread::spawn(move || {
        let run = || match case.as_str() {
            "departure" => departure::run(&in_thread),
            "starved-route" => starved_route::run(&in_thread),
            "keyed-bid" => keyed_bid::run(&in_thread),
            "lowered-quota" => lowered_quota::run(&in_thread),
            _ => COULD_NOT_RUN,
        };
        let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or(COULD_NOT_RUN);
        let _ = sender.send(code);
    });
    let code = receiver.recv_timeout(LIMIT).unwrap_or(COULD_NOT_RUN);
    record.line(format!("exit code {code}"));
    kit::end_leftovers();
    println!("{}", match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case couldn't run",
    });
    std::process::exit(code);
}
