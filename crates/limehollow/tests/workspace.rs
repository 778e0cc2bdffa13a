//! Tests of workspaces: lookup by key, rejected configurations, costs, and that keys aren't displayed.

use limehollow::workspace::{Cost, KeyDigest, Workspace, Workspaces, WorkspacesError};

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys.iter().map(|k| KeyDigest::of(k)).collect(),
        rank: None,
        limit: None,
        cost: Cost::Request,
        homes: Vec::new(),
    }
}

#[test]
fn find_by_any_of_its_keys() {
    let all = vec![workspace("a", &["k1", "k2"]), workspace("b", &["k3"])];
    let w = Workspaces::new(all).expect("they are valid");
    let name = |key| w.find(&KeyDigest::of(key)).map(|w| w.name.as_str());
    assert_eq!(name("k2"), Some("a"));
    assert_eq!(name("k3"), Some("b"));
    assert_eq!(name("k4"), None);
    assert_eq!(name(""), None);
}

#[test]
fn new_with_a_key_of_two_workspaces() {
    let all = vec![workspace("a", &["k1"]), workspace("b", &["k1"])];
    let bad = Workspaces::new(all).expect_err("a key names one workspace");
    assert!(matches!(bad, WorkspacesError::KeyTwice { .. }), "{bad}");
}

#[test]
fn new_with_a_duplicate_or_empty_name() {
    let twice = Workspaces::new(vec![workspace("a", &[]), workspace("a", &[])]);
    assert!(matches!(twice, Err(WorkspacesError::NameTwice { .. })));
    let nameless = Workspaces::new(vec![workspace("", &[])]);
    assert_eq!(nameless, Err(WorkspacesError::Nameless));
}

#[test]
fn new_with_a_duplicate_key_in_one_workspace() {
    let w = Workspaces::new(vec![workspace("a", &["k1", "k1"])])
        .expect("a workspace may repeat its own key");
    assert!(w.find(&KeyDigest::of("k1")).is_some());
}

#[test]
fn digest_displays_a_prefix_and_not_the_key() {
    let w = workspace("a", &["a secret"]);
    let shown = format!("{w:?} {}", w.keys[0]);
    assert!(!shown.contains("secret"), "{shown}");
    assert_eq!(w.keys[0].to_string().len(), 8);
}

#[test]
fn cost_counts_requests_or_tokens() {
    assert!((Cost::Request.of(Some(1632)) - 1.0).abs() < f64::EPSILON);
    let tokens = Cost::Tokens { plain: 200 };
    assert!((tokens.of(Some(1632)) - 1632.0).abs() < f64::EPSILON);
    assert!((tokens.of(None) - 200.0).abs() < f64::EPSILON);
}

#[test]
fn serialise_and_parse_round_trip() {
    let w = Workspaces::new(vec![workspace("a", &["k1"])]).expect("valid");
    let text = serde_json::to_string(&w).expect("it is written");
    let read: Workspaces = serde_json::from_str(&text).expect("it is read");
    assert_eq!(read, w);
}
