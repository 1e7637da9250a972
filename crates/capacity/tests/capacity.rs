//! Runs the capacity tool in its small form and checks that it ends by itself and that its figures are complete.
//! No timing is judged.

use googletest::prelude::*;
use serde_json::Value;
use std::path::PathBuf;
use std::process::Command;

struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn number(value: &Value, path: &str) -> f64 {
    value.pointer(path).and_then(Value::as_f64).unwrap_or(f64::NAN)
}

#[gtest]
fn small_form_ends_by_itself_with_complete_figures() {
    let scratch =
        Scratch(std::env::temp_dir().join(format!("whinstall-capacity-test-{}", std::process::id())));
    let ran = Command::new(env!("CARGO_BIN_EXE_whinstall-capacity"))
        .args(["--small", "--out"])
        .arg(&scratch.0)
        .output()
        .expect("it runs");
    assert_that!(ran.status.success(), eq(true), "{}", String::from_utf8_lossy(&ran.stderr));
    let text = std::fs::read_to_string(scratch.0.join("capacity.json")).expect("figures");
    let all: Value = serde_json::from_str(&text).expect("JSON");
    expect_that!(all["failed"].as_array().expect("a list").is_empty(), eq(true), "{}", all["failed"]);
    expect_that!(all["uncompared"].as_array().expect("a list").is_empty(), eq(true), "{}", all["uncompared"]);

    let measured = all["measured"].as_array().expect("a list");
    expect_that!(measured.len(), eq(4));
    for m in measured {
        let what = m["cell"].to_string();
        expect_that!(m["faults"].as_array().expect("a list").len(), eq(0), "{what}: {}", m["faults"]);
        let machines = m["core"].as_array().expect("a list").len();
        expect_that!(machines, eq(number(m, "/cell/core") as usize));
        let leaders = m["core"].as_array().into_iter().flatten().filter(|c| c["holder"] == true);
        expect_that!(leaders.count(), eq(1), "one leader: {what}");
        for (path, least) in [
            ("/first/1", 1000.0),
            ("/gate/cpu", 1e-9),
            ("/gate/memory/0", 1000.0),
            ("/gate/memory/1", 1000.0),
            ("/gate/messages", 1.0),
            ("/gate/bytes", 10.0),
            ("/core/0/cpu", 1e-9),
            ("/core/0/memory/1", 1e6),
            ("/core/0/disk", 1000.0),
            ("/core/0/descriptors", 5.0),
            ("/core/0/parts/log/0", 1.0),
            ("/core/0/parts/log/1", 100.0),
            ("/core/0/parts/workers/0", 5.0),
            ("/core/0/parts/workers/1", 200.0),
            ("/machine/cores", 1.0),
            ("/machine/busy", 1e-6),
            ("/machine/load", 0.0),
            ("/workers/taken", 5.0),
        ] {
            expect_that!(number(m, path), ge(least), "{path} of {what}");
        }
        expect_that!(number(m, "/workers/failed"), eq(0.0), "{what}");
    }
    let loaded = &measured[2];
    expect_that!(number(loaded, "/changes/0"), eq(6.0), "as many as are asked for, however long they take");
    expect_that!(&loaded["changes"][0], eq(&loaded["changes"][1]), "every change came into force everywhere");
    expect_that!(number(loaded, "/gate/requests/1"), gt(1.0), "requests are answered");
    expect_that!(number(loaded, "/workers/replaced"), ge(1.0));
    let kinds = loaded["gate"]["kinds"].as_object().expect("kinds");
    expect_that!(kinds.contains_key("said Load (datagram)"), eq(true));
    expect_that!(kinds.contains_key("said Sync"), eq(true), "{kinds:?}");
    expect_that!(kinds.keys().any(|k| k.ends_with('?')), eq(false), "each message has its kind: {kinds:?}");

    let with_five_core_machines = &measured[3];
    expect_that!(
        number(with_five_core_machines, "/first/1"),
        gt(number(loaded, "/first/1")),
        "more tenants, routes and keys"
    );
    expect_that!(number(with_five_core_machines, "/changes/0"), eq(3.0));
    expect_that!(
        &with_five_core_machines["changes"][0],
        eq(&with_five_core_machines["changes"][1]),
        "of five machines, too"
    );

    let recovery = &all["lost"][0];
    for fault in ["killed", "handed_over", "two_killed"] {
        for time in ["acknowledged_s", "in_force_s", "uncounted_s"] {
            expect_that!(
                number(recovery, &format!("/{fault}/{time}")),
                gt(0.0),
                "{fault}, {time}: {recovery}"
            );
        }
    }
    for time in ["back_s", "refilled_s"] {
        expect_that!(number(recovery, &format!("/{time}")), gt(0.0), "{time}: {recovery}");
    }

    let compared = &all["compared"][0];
    let rounds = compared["rounds"].as_array().expect("rounds");
    expect_that!(rounds.len(), eq(3));
    for round in rounds {
        expect_that!(number(round, "/through/served"), ge(50.0));
        expect_that!(number(round, "/through/failed"), eq(0.0));
        expect_that!(number(round, "/bare/served"), ge(50.0));
    }
    expect_that!(number(compared, "/served/1"), eq(0.0));
    for figure in ["/added/ratio/0", "/added/ratio/1", "/added/through_ms/0", "/added/bare_ms/1"] {
        let at = |name: &str| number(compared, &format!("{figure}/{name}"));
        expect_that!(at("least"), gt(0.0), "{figure}");
        expect_that!(at("median"), ge(at("least")), "{figure}");
        expect_that!(at("most"), ge(at("median")), "{figure}");
    }

    // With two sizes a line goes through both figures.
    let fits = all["fits"].as_array().expect("a list");
    let bytes = fits.iter().find(|f| f["metric"] == "gatekeeper bytes" && f["fit"]["cause"] == "idle");
    let fit = &bytes.expect("bytes by gatekeepers")["fit"];
    for point in fit["points"].as_array().expect("points") {
        let fitted = number(fit, "/line/base") + number(fit, "/line/slope") * number(point, "/0");
        expect_that!(fitted, approx_eq(number(point, "/1")));
    }
    let plots = std::fs::read_dir(&scratch.0).expect("a folder").flatten();
    let plots = plots.filter(|e| e.path().extension().is_some_and(|x| x == "svg"));
    let complete = plots.map(|e| std::fs::read_to_string(e.path()).expect("a plot"));
    let complete = complete.filter(|text| text.contains("<svg") && text.trim_end().ends_with("</svg>"));
    expect_that!(complete.count(), ge(8));
}
