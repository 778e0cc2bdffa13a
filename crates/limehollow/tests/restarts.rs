//! Endpoints that restart under the same id, and list entries that can't be decoded.

mod site;

use limehollow::instance::{Instance, StartCheck};
use limehollow::late_loads::{LateLoads, MAX_ORDER_DELAY, Reserve};
use limehollow::order_book::OrderBook;
use limehollow::rebalance::{ModelMove, Step};
use limehollow::roster::{Endpoint, HoldingsReport, REPORT_PREFERRED, Roster};
use site::{endpoint, engine, holding, llm, model, report};
use std::collections::BTreeSet;
use tokio::time::{Instant, advance};

const FIRST: Option<u64> = Some(1_000);
const SECOND: Option<u64> = Some(2_000);

fn instance(born: Option<u64>) -> Instance {
    Instance {
        id: "i-0".into(),
        born,
    }
}

fn entry(born: Option<u64>, models: &[&str]) -> Endpoint {
    Endpoint {
        instance: instance(born),
        ..endpoint(0, "a", holding(models))
    }
}

fn holdings_report(born: Option<u64>, orders_taken: u64, models: &[&str]) -> HoldingsReport {
    HoldingsReport {
        instance: instance(born),
        holdings: holding(models),
        orders_taken,
    }
}

fn listed(born: Option<u64>, models: &[&str]) -> Roster {
    let mut r = Roster::default();
    r.apply_entry(Instant::now(), entry(born, models));
    r
}

fn held(r: &Roster) -> Vec<String> {
    let e = r
        .key("i-0")
        .and_then(|k| r.get(k))
        .expect("the endpoint is known");
    e.holdings.keys().map(ToString::to_string).collect()
}

#[test]
fn list_later_start_is_open() {
    let mut r = listed(FIRST, &["big-0"]);
    let first = r.key("i-0").expect("the endpoint is known");
    r.mark_leaving(first);
    let update = r.apply_entry(Instant::now(), entry(SECOND, &[]));
    assert!(update.is_restart());
    assert_eq!(update.replaced, Some(first));
    assert!(
        r.get(first).is_none(),
        "the former start's key is no longer valid"
    );
    assert_eq!(r.open(&llm()).count(), 1);
    assert_eq!(held(&r), Vec::<String>::new());
}

#[test]
fn list_earlier_start_is_ignored() {
    let mut r = listed(SECOND, &["big-1"]);
    let mut late = entry(FIRST, &["big-0"]);
    late.leaving = true;
    assert_eq!(r.apply_entry(Instant::now(), late).replaced, None);
    assert_eq!(held(&r), ["big-1"]);
    assert_eq!(r.open(&llm()).count(), 1);
}

#[test]
fn list_same_start_keeps_key() {
    let mut r = listed(FIRST, &["big-0"]);
    let key = r.key("i-0");
    assert!(
        !r.apply_entry(Instant::now(), entry(FIRST, &["big-1"]))
            .is_new
    );
    assert_eq!(r.key("i-0"), key);
}

#[test]
fn list_other_address_gets_new_key() {
    // Connections and measurements belong to the endpoint at the former address, whatever start the entry
    // states.
    let mut r = listed(None, &[]);
    let key = r.key("i-0");
    r.mark_leaving(key.expect("the endpoint is known"));
    let mut moved = entry(None, &[]);
    moved.address = ([127, 0, 0, 1], 9001).into();
    assert_eq!(r.apply_entry(Instant::now(), moved).replaced, key);
    assert_eq!(r.open(&llm()).count(), 0, "the endpoint is still leaving");
}

#[test]
fn list_without_start_after_listed_start() {
    let mut r = listed(FIRST, &["big-0"]);
    r.apply_entry(Instant::now(), entry(None, &["big-0"]));
    assert_eq!(
        r.len(),
        0,
        "an entry by another writer removes the endpoint"
    );
    assert!(
        r.apply_entry(Instant::now(), entry(FIRST, &["big-0"]))
            .is_new
    );
}

#[test]
fn list_without_start_after_reported_start() {
    let mut r = listed(None, &["big-0"]);
    r.apply_report(Instant::now(), &holdings_report(FIRST, 1, &["big-1"]));
    r.apply_entry(Instant::now(), entry(None, &["big-0"]));
    assert_eq!(r.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn list_later_start_overrides_former_reports() {
    let mut r = listed(FIRST, &["big-0"]);
    r.apply_report(
        Instant::now(),
        &holdings_report(FIRST, 9, &["big-0", "big-1"]),
    );
    r.apply_entry(Instant::now(), entry(SECOND, &[]));
    assert_eq!(
        held(&r),
        Vec::<String>::new(),
        "the later start holds nothing"
    );
    let late = r.apply_report(Instant::now(), &holdings_report(FIRST, 10, &["big-0"]));
    assert!(!late.is_new);
    assert_eq!(held(&r), Vec::<String>::new());
}

#[test]
fn report_later_start_resets_count() {
    let mut r = listed(FIRST, &["big-0"]);
    r.apply_report(Instant::now(), &holdings_report(FIRST, 9, &["big-0"]));
    assert!(
        r.apply_report(Instant::now(), &holdings_report(SECOND, 1, &["big-2"]))
            .is_restart()
    );
    assert_eq!(held(&r), ["big-2"]);
    assert!(
        r.apply_report(Instant::now(), &holdings_report(SECOND, 2, &["big-1"]))
            .is_new
    );
    assert_eq!(held(&r), ["big-1"]);
}

#[test]
fn report_later_start_before_its_entry() {
    // The store is unavailable, so the entry of the former start stays, marked as leaving.
    let mut r = listed(FIRST, &["big-0"]);
    let first = r.key("i-0").expect("the endpoint is known");
    r.mark_leaving(first);
    r.apply_report(Instant::now(), &holdings_report(SECOND, 0, &[]));
    let service = llm();
    let (_, e) = r.open(&service).next().expect("the later start is open");
    assert_eq!(e.instance, instance(SECOND));
    assert!(
        e.copies.is_empty(),
        "the copies at the later start are unknown"
    );
    // What other VMs report of the former start doesn't apply to the later one.
    assert_eq!(r.find(&instance(FIRST)), None);
    assert_eq!(r.find(&instance(SECOND)), r.key("i-0"));
    assert_eq!(r.find(&instance(None)), r.key("i-0"));
}

#[tokio::test(start_paused = true)]
async fn report_lower_count_without_start() {
    // Only the lower count of orders shows that the endpoint restarted. A repeated older message looks the
    // same, so the report counts only after a while.
    let mut r = listed(None, &["big-0"]);
    r.apply_report(Instant::now(), &holdings_report(None, 9, &["big-0"]));
    assert!(
        !r.apply_report(Instant::now(), &holdings_report(None, 1, &["big-2"]))
            .is_new
    );
    advance(REPORT_PREFERRED).await;
    assert!(
        r.apply_report(Instant::now(), &holdings_report(None, 1, &["big-2"]))
            .is_new
    );
    assert_eq!(held(&r), ["big-2"]);
}

#[test]
fn set_unreadable_until_readable_entry() {
    let mut r = listed(FIRST, &["big-0"]);
    let key = r.key("i-0");
    assert_eq!(r.set_unreadable("i-0".into()), key);
    assert_eq!(r.open(&llm()).count(), 0);
    assert_eq!(r.unreadable().count(), 1);
    assert!(
        !r.apply_report(Instant::now(), &holdings_report(FIRST, 1, &["big-0"]))
            .is_new
    );
    assert!(
        r.apply_entry(Instant::now(), entry(FIRST, &["big-0"]))
            .is_new
    );
    assert_eq!((r.open(&llm()).count(), r.unreadable().count()), (1, 0));
}

#[test]
fn retain_unreadable_by_full_read() {
    let mut r = Roster::default();
    for id in ["x", "y"] {
        assert_eq!(r.set_unreadable(id.into()), None);
    }
    r.retain_unreadable(&BTreeSet::from(["y".into()]));
    assert!(r.unreadable().eq(["y"]));
}

#[test]
fn start_check_by_start_and_count() {
    for (born, orders, is_same) in [
        (FIRST, 4, true),
        (FIRST, 5, true),
        (FIRST, 3, false),
        (SECOND, 9, false),
        (None, 5, true),
        (None, 3, false),
    ] {
        let mut check = StartCheck::new(instance(None));
        assert!(check.observe(FIRST, 4));
        assert_eq!(check.observe(born, orders), is_same, "{born:?} {orders}");
    }
}

fn book(born: Option<u64>, orders_taken: u64, models: &[&str]) -> OrderBook {
    let mut r = report(orders_taken, false, models);
    r.born = born;
    OrderBook::from(r)
}

#[tokio::test(start_paused = true)]
async fn reserve_for_late_load() {
    let spec = engine(4);
    let mut late = LateLoads::default();
    late.record(Instant::now(), &instance(FIRST), &model("big-0"), 1);
    let reserved = |late: &LateLoads, b: &OrderBook, loading: &str| {
        let r = late.reserve(Instant::now(), "i-0", b, &model(loading), &spec);
        r.megabytes > 0.0
    };
    for (b, loading, expected, why) in [
        (
            book(FIRST, 1, &[]),
            "big-1",
            false,
            "the same start: the next order makes the load void",
        ),
        (
            book(SECOND, 0, &[]),
            "big-1",
            true,
            "a later start may still reach the load's number",
        ),
        (
            book(SECOND, 1, &["big-1"]),
            "big-2",
            true,
            "the load's number is reached",
        ),
        (
            book(SECOND, 2, &["big-1"]),
            "big-2",
            false,
            "the load's number has passed",
        ),
        (
            book(SECOND, 1, &["big-0"]),
            "big-2",
            false,
            "the model is loaded already",
        ),
        (book(SECOND, 0, &[]), "big-0", false, "the same load"),
        (
            book(None, 0, &[]),
            "big-1",
            true,
            "a lower count shows a later start",
        ),
        (
            book(None, 1, &[]),
            "big-1",
            false,
            "nothing shows another start",
        ),
    ] {
        assert_eq!(reserved(&late, &b, loading), expected, "{why}");
    }
    advance(MAX_ORDER_DELAY).await;
    assert!(
        !reserved(&late, &book(SECOND, 0, &[]), "big-1"),
        "the load can't arrive any more"
    );
}

/// An endpoint with 200 GB for models of 70 GB restarts while an unanswered load is in flight. The load has to
/// fit whenever it arrives and whatever its expected number of orders is.
#[tokio::test(start_paused = true)]
async fn step_fits_with_late_load() {
    let spec = engine(6);
    for expected in 0..4 {
        for arrives_at in 0..6 {
            let mut late = LateLoads::default();
            late.record(Instant::now(), &instance(FIRST), &model("big-5"), expected);
            let (mut orders, mut there): (u64, Vec<&str>) = (0, Vec::new());
            for name in ["big-0", "big-1", "big-2", "big-3"] {
                if orders == arrives_at && orders == expected && !there.contains(&"big-5") {
                    assert!(there.len() < 2, "{there:?} and big-5 at {orders}");
                    there.push("big-5");
                    orders += 1;
                }
                let r = report(orders, false, &there);
                let b = book(SECOND, orders, &there);
                let reserve = late.reserve(Instant::now(), "i-0", &b, &model(name), &spec);
                let m = ModelMove {
                    load: name.into(),
                    evict: Vec::new(),
                };
                if m.step(&r, &spec, reserve) == Step::Load {
                    there.push(name);
                    orders += 1;
                }
                assert!(there.len() <= 2);
            }
        }
    }
    assert_eq!(
        ModelMove {
            load: "big-0".into(),
            evict: Vec::new()
        }
        .step(&report(0, false, &["big-1"]), &spec, Reserve::default()),
        Step::Load
    );
}
