//! Tests the next step of an adapter's move for different states of the endpoint.

mod site;

use limehollow::late_loads::Reserve;
use limehollow::order_book::{AdapterStep, OrderBook};
use limehollow::rebalance::{AdapterMove, EndpointReport};
use limehollow::roster::ModelRef;
use site::{adapter, engine, report};

fn with(adapters: &[&str]) -> EndpointReport {
    let mut r = report(5, false, &["big-0"]);
    let held = r.holdings.get_mut("big-0").expect("it is there");
    held.adapters = adapters.iter().map(|a| (*a).into()).collect();
    r
}

fn load(name: &str, evict: Option<&str>) -> AdapterMove {
    AdapterMove {
        load: adapter("big-0", name),
        evict: evict.map(|e| adapter("big-0", e)),
    }
}

fn step(r: EndpointReport, m: &AdapterMove) -> AdapterStep {
    OrderBook::from(r).adapter_step(m, &engine(2), Reserve::default())
}

#[test]
fn adapter_step_by_slots() {
    // With two slots, a third adapter is loaded only after one of the two was unloaded.
    assert_eq!(step(with(&["a1"]), &load("a2", None)), AdapterStep::Load);
    assert_eq!(
        step(with(&["a1", "a2"]), &load("a2", None)),
        AdapterStep::Done
    );
    assert_eq!(
        step(with(&["a1", "a2"]), &load("a3", None)),
        AdapterStep::Impossible
    );
    let first: ModelRef = adapter("big-0", "a1");
    assert_eq!(
        step(with(&["a1", "a2"]), &load("a3", Some("a1"))),
        AdapterStep::Unload(first)
    );
    // The adapter to unload is already gone, and its slot is occupied.
    assert_eq!(
        step(with(&["a1", "a2"]), &load("a3", Some("a4"))),
        AdapterStep::Impossible
    );
}

#[test]
fn adapter_step_counts_adapters_being_loaded() {
    let mut r = with(&["a1"]);
    r.coming = 1;
    assert_eq!(step(r, &load("a2", None)), AdapterStep::Impossible);
}

#[test]
fn adapter_step_without_model_or_while_busy() {
    let mut busy = with(&[]);
    busy.busy = true;
    assert_eq!(step(busy, &load("a1", None)), AdapterStep::Impossible);
    let other = report(5, false, &["big-1"]);
    assert_eq!(step(other, &load("a1", None)), AdapterStep::Impossible);
}

#[test]
fn adapter_step_without_memory() {
    let mut spec = engine(2);
    spec.megabytes = 70_040.0;
    let book = OrderBook::from(with(&[]));
    assert_eq!(
        book.adapter_step(&load("a1", None), &spec, Reserve::default()),
        AdapterStep::Impossible
    );
}

#[test]
fn record_counts_orders_like_the_endpoint() {
    let mut b = OrderBook::from(with(&["a1"]));
    b.withdraw(&adapter("big-0", "a1"));
    assert_eq!(b.orders_taken, 5, "the unload isn't executed yet");
    b.record_unload(&adapter("big-0", "a1"), true);
    b.record_load(&adapter("big-0", "a2"), true);
    b.record_load(&adapter("big-0", "a2"), false);
    assert_eq!(b.orders_taken, 7);
    assert_eq!(b.holdings, with(&["a2"]).holdings);
}
