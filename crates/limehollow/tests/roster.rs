//! Which of the list and the controller's reports is believed.

mod site;

use limehollow::roster::{HoldingsReport, REPORT_PREFERRED, holds};
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
async fn list_older_than_the_last_order() {
    // The list lags: an entry that counts fewer orders than the report is outdated, whenever it comes.
    let (mut r, keys) = roster(&[&["big-0"]]);
    assert!(r.report(Instant::now(), &report(2, &["big-1"])));
    advance(REPORT_PREFERRED * 2).await;
    let mut entry = endpoint(0, "a", holding(&["big-0"]));
    entry.orders_taken = 1;
    r.list(Instant::now(), entry);
    let e = r.get(keys[0]).expect("it is listed");
    assert_eq!((e.orders_taken, &e.holdings), (2, &holding(&["big-1"])));
}

#[tokio::test(start_paused = true)]
async fn list_as_new_as_the_report() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    r.report(Instant::now(), &report(1, &[]));
    let mut entry = endpoint(0, "a", holding(&["big-0"]));
    entry.orders_taken = 1;
    // What is about to go is still listed: the report holds for a while.
    r.list(Instant::now(), entry.clone());
    assert!(r.get(keys[0]).expect("listed").holdings.is_empty());
    advance(REPORT_PREFERRED).await;
    r.list(Instant::now(), entry);
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-0"])
    );
}

#[test]
fn report_older_than_the_list() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    let mut entry = endpoint(0, "a", holding(&["big-2"]));
    entry.orders_taken = 3;
    r.list(Instant::now(), entry);
    assert!(!r.report(Instant::now(), &report(2, &["big-1"])));
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-2"])
    );
}

#[test]
fn list_never_takes_leaving_back() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    r.leave(keys[0]);
    r.list(Instant::now(), endpoint(0, "a", holding(&["big-0"])));
    assert!(r.get(keys[0]).expect("listed").leaving);
    assert_eq!(r.open(&site::llm()).count(), 0);
}

#[test]
fn remove_then_list_is_another_key() {
    let (mut r, keys) = roster(&[&["big-0"]]);
    assert_eq!(r.remove("i-0"), Some(keys[0]));
    assert!(r.list(Instant::now(), endpoint(0, "a", holding(&[]))));
    assert_ne!(r.key("i-0"), Some(keys[0]));
    assert!(r.get(keys[0]).is_none());
}

#[test]
fn unhold_until_listed_anew() {
    let (mut r, keys) = roster(&[&["big-0", "big-1"]]);
    r.unhold(keys[0], &model("big-1"));
    assert_eq!(
        r.get(keys[0]).expect("listed").holdings,
        holding(&["big-0"])
    );
    r.list(
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
