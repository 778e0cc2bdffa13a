//! Tests of whether entries of the list or reports of the controller take precedence.

mod site;

use limehollow::id::SoftwareVersion;
use limehollow::instance::Instance;
use limehollow::roster::{Endpoint, HoldingsReport, REPORT_PREFERRED, Roster, holds};
use site::{adapter, endpoint, holding, model, roster};
use tokio::time::{Instant, advance};

fn report(orders_taken: u64, models: &[&str]) -> HoldingsReport {
    HoldingsReport {
        instance: "i-0".into(),
        holdings: holding(models),
        orders_taken,
    }
}

#[tokio::test(start_paused = true)]
async fn apply_entry_older_than_the_report() {
    // The list lags and counts no orders: an entry that arrives soon after a report is outdated.
    let (mut r, keys) = roster(&[&["big-0"]]);
    assert!(
        r.apply_report(Instant::now(), &report(2, &["big-1"]))
            .is_new
    );
    advance(REPORT_PREFERRED / 2).await;
    r.apply_entry(Instant::now(), endpoint(0, "a", holding(&["big-0"])));
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-1"])
    );
    // The entry isn't applied later either, as it was written before the report.
    advance(REPORT_PREFERRED).await;
    assert!(!r.apply_held_back(Instant::now()));
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-1"])
    );
}

#[tokio::test(start_paused = true)]
async fn apply_entry_after_the_report() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    r.apply_report(Instant::now(), &report(1, &[]));
    let entry = endpoint(0, "a", holding(&["big-0"]));
    // A model that is about to be unloaded is still listed: the report takes precedence for a while.
    r.apply_entry(Instant::now(), entry.clone());
    assert!(r.get(keys[0]).expect("listed").holdings.is_empty());
    advance(REPORT_PREFERRED).await;
    r.apply_entry(Instant::now(), entry);
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-0"])
    );
}

#[tokio::test(start_paused = true)]
async fn apply_held_back_entry() {
    // An unload was reported but its order was lost. The list shows the model late, and only once.
    let (mut r, keys) = roster(&[&["big-0"]]);
    r.apply_report(Instant::now(), &report(1, &[]));
    advance(REPORT_PREFERRED.mul_f64(0.8)).await;
    r.apply_entry(Instant::now(), endpoint(0, "a", holding(&["big-0"])));
    assert!(
        !r.apply_held_back(Instant::now()),
        "the report takes precedence"
    );
    advance(REPORT_PREFERRED.mul_f64(0.3)).await;
    assert!(r.apply_held_back(Instant::now()));
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-0"])
    );
    assert!(!r.apply_held_back(Instant::now()), "only once");
}

#[test]
fn apply_report_older_than_the_last_one() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    assert!(
        r.apply_report(Instant::now(), &report(3, &["big-2"]))
            .is_new
    );
    assert!(
        !r.apply_report(Instant::now(), &report(2, &["big-1"]))
            .is_new
    );
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-2"])
    );
}

#[test]
fn apply_report_of_few_orders_after_many_entries() {
    // However often the endpoint was listed, the report of its first order is newer.
    let (mut r, keys) = roster(&[&["big-0"]]);
    for _ in 0..50 {
        r.apply_entry(Instant::now(), endpoint(0, "a", holding(&["big-0"])));
    }
    assert!(
        r.apply_report(Instant::now(), &report(1, &["big-1"]))
            .is_new
    );
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-1"])
    );
}

#[test]
fn apply_entry_never_ends_leaving() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    r.mark_leaving(keys[0]);
    r.apply_entry(Instant::now(), endpoint(0, "a", holding(&["big-0"])));
    assert!(r.get(keys[0]).expect("listed").leaving);
    assert_eq!(r.open(&site::llm()).count(), 0);
}

#[test]
fn remove_then_apply_entry_gives_another_key() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    assert_eq!(r.remove("i-0"), Some(keys[0]));
    assert!(
        r.apply_entry(Instant::now(), endpoint(0, "a", holding(&[])))
            .is_new
    );
    assert_ne!(r.key("i-0"), Some(keys[0]));
    assert!(r.get(keys[0]).is_none());
}

#[test]
fn remove_holding_until_the_next_entry() {
    let (mut r, keys) = roster(&[&["big-0", "big-1"]]);
    r.remove_holding(keys[0], &model("big-1"));
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-0"])
    );
    r.apply_entry(
        Instant::now(),
        endpoint(0, "a", holding(&["big-0", "big-1"])),
    );
    assert!(holds(
        &r.get(keys[0]).expect("listed").holdings,
        &model("big-1")
    ));
}

#[test]
fn holds_model_and_adapter() {
    let mut h = holding(&["big-0"]);
    assert!(holds(&h, &model("big-0")));
    assert!(!holds(&h, &model("big-1")));
    assert!(!holds(&h, &adapter("big-0", "a1")));
    h.get_mut("big-0")
        .expect("it is there")
        .adapters
        .insert("a1".into());
    assert!(holds(&h, &adapter("big-0", "a1")));
    assert!(!holds(&h, &adapter("big-1", "a1")));
}

#[test]
fn apply_entry_of_another_version_is_another_start() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    let mut entry = endpoint(0, "a", holding(&["big-0"]));
    entry.software = Some("v1.1".into());
    let update = r.apply_entry(Instant::now(), entry);
    assert_eq!(update.replaced, Some(keys[0]));
    let key = r.key("i-0").expect("listed");
    let software = &r.get(key).expect("listed").software;
    assert_eq!(software.as_ref().map(SoftwareVersion::as_str), Some("v1.1"));
}

#[test]
fn version_of_a_start_that_only_a_report_shows_is_unknown() {
    let born = |ms| Instance {
        id: "i-0".into(),
        born: Some(ms),
    };
    let mut r = Roster::default();
    let listed = |ms| Endpoint {
        instance: born(ms),
        ..endpoint(0, "a", holding(&[]))
    };
    r.apply_entry(Instant::now(), listed(1));
    let report = HoldingsReport {
        instance: born(2),
        ..report(0, &["big-0"])
    };
    r.apply_report(Instant::now(), &report);
    let software = |r: &Roster| r.get(r.key("i-0").expect("listed"))?.software.clone();
    assert_eq!(software(&r), None);
    // An entry of the former start says nothing of it.
    r.apply_entry(Instant::now(), listed(1));
    assert_eq!(software(&r), None);
    let key = r.key("i-0");
    r.apply_entry(Instant::now(), listed(2));
    assert!(software(&r).is_some());
    assert_eq!(r.key("i-0"), key);
}
