//! Tests of [`Catalog`]: the rule that matches a request, and the service that it is routed to.

mod site;

use limehollow::catalog::{CallerLimits, Catalog, Rule};
use site::{millis, rule};
use std::collections::BTreeMap;
use std::time::Duration;

fn catalog(rules: Vec<Rule>) -> Catalog {
    let limits = CallerLimits {
        head_bytes: 16 << 10,
        body_bytes: 4 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Catalog::new(1, rules, BTreeMap::new(), limits)
}

#[test]
fn rule_longest_prefix() {
    let c = catalog(vec![
        rule("x.example", "/a/", &[("one", 1)]),
        rule("x.example", "/a/b/", &[("two", 1)]),
        rule("y.example", "/", &[("three", 1)]),
    ]);
    let cases = [
        ("x.example", "/a/c", Some("x.example/a/")),
        ("x.example", "/a/b/c", Some("x.example/a/b/")),
        ("X.Example", "/a/b/", Some("x.example/a/b/")),
        ("x.example", "/a/b", Some("x.example/a/")),
        ("x.example", "/a", None),
        ("x.example", "/", None),
        ("y.example", "/a/b/c", Some("y.example/")),
        ("z.example", "/a/", None),
    ];
    for (host, path, expected) in cases {
        let found = c.rule(host, path).map(|r| r.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn service_by_weight() {
    let r = rule("x.example", "/", &[("one", 90), ("two", 10), ("none", 0)]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for hash in 0..1000 {
        let s = r.service(hash).expect("the rule has a share");
        *counts.entry(s.to_string()).or_default() += 1;
    }
    let expected = [("one".to_owned(), 900), ("two".to_owned(), 100)];
    assert_eq!(counts, BTreeMap::from(expected));
}

#[test]
fn service_without_weights() {
    let r = rule("x.example", "/", &[("one", 0)]);
    assert_eq!(
        r.service(7).map(limehollow::id::ServiceName::as_str),
        Some("one")
    );
    assert_eq!(rule("x.example", "/", &[]).service(7), None);
}

#[test]
fn shortest_objective_of_all_rules() {
    let mut slow = rule("x.example", "/slow/", &[("one", 1)]);
    slow.objective = millis(6000);
    let c = catalog(vec![
        slow,
        rule("x.example", "/fast/", &[("one", 1), ("two", 1)]),
    ]);
    assert_eq!(c.shortest_objective(&"one".into()), Some(millis(1000)));
    assert_eq!(c.shortest_objective(&"two".into()), Some(millis(1000)));
    assert_eq!(c.shortest_objective(&"three".into()), None);
}
