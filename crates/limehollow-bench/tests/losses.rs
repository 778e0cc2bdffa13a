//! Where service was lost, from lines as the processes write them.

use limehollow_bench::losses::{Bounds, Losses};

const BOUNDS: Bounds = Bounds {
    objective_ms: 400,
    pause_ms: 250,
    window_s: 2.0,
};

const DAY: &str = r#"a line of something else
  -3.0 vm-1 {"message":"lease taken","fence":1}
   0.5 vm-1 {"message":"sent","id":"1","model":"big"}
   0.9 vm-1 {"message":"try ended","id":"1","outcome":"whole","first_ms":500,"longest_pause_ms":300,"ms":900}
   1.2 vm-2 {"message":"given up","id":"2","model":"big"}
   1.2 vm-2 {"message":"refused","id":"2","reason":"the endpoints are busy","retry_after_ms":100}
   2.5 vm-2 {"message":"try failed","id":"3","why":"no answer within 200 ms"}
   2.9 vm-2 {"message":"try ended","id":"3","outcome":"failed","ms":200}
   4.1 vm-1 {"message":"demand","models":"[(\"big\", 310.0, 2.0), (\"rare\", 12.0, 0.0)]","endpoints":"[1.0]"}
   4.2 vm-1 {"message":"move begins","load":"rare"}
   5.9 vm-1 {"message":"move ended","load":"rare","outcome":"no room"}
   6.0 vm-1 {"message":"try ended","id":"1","outcome":"broken off","first_ms":30}
   6.1 vm-1 {"message": broken"#;

#[test]
fn read_counts_by_kind() {
    let l = Losses::read(DAY.lines(), BOUNDS);
    for kind in [
        "late: first result",
        "late: pause",
        "refused: the endpoints are busy",
        "failed: no answer within 200 ms",
        "broken off",
    ] {
        assert_eq!(l.count(kind), 1, "{kind}");
    }
    assert_eq!(l.count("failed"), 0);
}

#[test]
fn display_by_time_and_model() {
    let text = Losses::read(DAY.lines(), BOUNDS).to_string();
    assert!(
        text.contains("0.0 s") && text.contains("lease to vm-1"),
        "{text}"
    );
    assert!(
        text.contains("moves begun 1, failed 1, nowhere rare"),
        "{text}"
    );
    let big = text.lines().find(|l| l.trim_start().starts_with("big"));
    assert!(big.is_some_and(|l| l.contains("busy 1")), "{text}");
    assert!(text.contains("1 lines could not be read"), "{text}");
}

#[test]
fn read_nothing() {
    let text = Losses::read(Vec::<String>::new(), BOUNDS).to_string();
    assert!(text.contains("# by kind"), "{text}");
}

/// An adapter that is refused to four callers and loaded after each has left, and one that is served.
fn late_loads() -> Vec<String> {
    let mut lines = Vec::new();
    for caller in 0..4 {
        let asked = f64::from(caller) * 4.0;
        let loaded = asked + 2.0;
        let id = caller.to_string();
        lines.push(format!(
            r#"{asked} vm-1 {{"message":"given up","id":"{id}","model":"big","adapter":"rare"}}"#
        ));
        lines.push(format!(
            r#"{asked} vm-1 {{"message":"refused","id":"{id}","reason":"no endpoint holds the adapter"}}"#
        ));
        lines.push(format!(
            r#"{loaded} vm-2 {{"message":"order","action":"Load","model":"big","adapter":"rare","outcome":"taken"}}"#
        ));
        lines.push(format!(
            r#"{asked} vm-1 {{"message":"sent","id":"s{id}","model":"big","adapter":"common"}}"#
        ));
        lines.push(format!(
            r#"{asked} vm-1 {{"message":"answer begins","id":"s{id}","status":200}}"#
        ));
    }
    lines
}

#[test]
fn display_what_was_never_served() {
    let text = Losses::read(late_loads(), BOUNDS).to_string();
    assert!(text.contains("1 of 2 never served big/rare"), "{text}");
    assert!(
        text.contains("4 loads after a refusal, 2.00 s, 2.00 s, 2.00 s later"),
        "{text}"
    );
}
