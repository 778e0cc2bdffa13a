//! Controllers under faults: each single fault and each pair of faults while a plan is carried out.
//!
//! At every tick the world checks that no engine exceeds its memory, that each served model is reachable,
//! and that no controller's offset decreases. In the end the plan has to be carried out.

mod world;

use limehollow::intent::Intent;
use std::time::Duration;
use world::{ProcessState, World, adapter, describe_unfinished, intent, model};

const CAPACITY: u64 = 60;

fn first_intent() -> Intent {
    intent(vec![
        model("large", "1", 30, 2),
        model("medium", "1", 20, 2),
        model("small", "1", 12, 2),
        model("old", "1", 10, 2),
        adapter("small-vat", "small", 2, 2),
    ])
}

/// Changes the first intent: one model gets a new version, one is removed and one is added.
fn second_intent() -> Intent {
    intent(vec![
        model("large", "2", 30, 2),
        model("medium", "1", 20, 2),
        model("small", "1", 12, 2),
        model("new", "1", 14, 2),
        adapter("small-vat", "small", 2, 2),
    ])
}

/// A fault to inject. [`World::end_faults`] ends the lasting ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    HolderKilled,
    HolderReplaced,
    HolderPausedAtSend,
    AllHoldersPaused,
    OrdersLost,
    OrderAnswersLost,
    OrdersLate,
    OrdersDuplicated,
    AppendsLost,
    LogDown,
    ZoneCutFromPlatform,
    PeersCut,
    EngineRestarted,
    EngineDown,
    LoadsFail,
    EngineUnlisted,
    ReaderBehindRetention,
}

const FAULTS: [Fault; 17] = [
    Fault::HolderKilled,
    Fault::HolderReplaced,
    Fault::HolderPausedAtSend,
    Fault::AllHoldersPaused,
    Fault::OrdersLost,
    Fault::OrderAnswersLost,
    Fault::OrdersLate,
    Fault::OrdersDuplicated,
    Fault::AppendsLost,
    Fault::LogDown,
    Fault::ZoneCutFromPlatform,
    Fault::PeersCut,
    Fault::EngineRestarted,
    Fault::EngineDown,
    Fault::LoadsFail,
    Fault::EngineUnlisted,
    Fault::ReaderBehindRetention,
];

fn inject(w: &mut World, fault: Fault, zone: &str) {
    match fault {
        Fault::HolderKilled => {
            if let Some(i) = w.holder(zone) {
                w.controllers[i].state = ProcessState::Dead;
            }
        }
        Fault::HolderReplaced => {
            if let Some(i) = w.holder(zone) {
                w.replace(i);
            }
        }
        Fault::HolderPausedAtSend => w.faults.pause_at_send = true,
        Fault::AllHoldersPaused => {
            for z in ["a", "b", "c"] {
                if let Some(i) = w.holder(z) {
                    w.controllers[i].state = ProcessState::Paused;
                }
            }
        }
        Fault::OrdersLost => w.faults.drop_orders = 3,
        Fault::OrderAnswersLost => w.faults.lose_order_answers = 4,
        Fault::OrdersLate => w.faults.delay_orders = Some(Duration::from_secs(100)),
        Fault::OrdersDuplicated => w.faults.duplicate_orders = Some(Duration::from_secs(50)),
        Fault::AppendsLost => w.faults.drop_appends = 4,
        Fault::LogDown => w.faults.log_down = true,
        Fault::ZoneCutFromPlatform => {
            w.faults.cut_from_platform.insert(zone.into());
        }
        Fault::PeersCut => w.faults.peers_cut = true,
        Fault::EngineRestarted => engine(w, zone).restart(),
        Fault::EngineDown => engine(w, zone).up = false,
        Fault::LoadsFail => engine(w, zone).fail_loads = 2,
        Fault::EngineUnlisted => {
            w.unlisted.insert(format!("engine-{zone}2").as_str().into());
        }
        Fault::ReaderBehindRetention => {
            if let Some(i) = w.holder(zone) {
                w.controllers[i].state = ProcessState::Paused;
            }
            w.run(Duration::from_secs(2));
            w.snapshot_and_truncate();
        }
    }
}

fn engine<'w>(w: &'w mut World, zone: &str) -> &'w mut world::Engine {
    w.engines
        .get_mut(format!("engine-{zone}2").as_str())
        .expect("the engine exists")
}

/// Carries out the first intent without faults, then injects faults while the second is carried out.
fn run_case(faults: &[Fault], after_ms: u64) {
    let zones = ["b", "c"];
    let mut w = World::new(&["a", "b", "c"], CAPACITY);
    w.confirm(first_intent());
    let up = w.run_until(Duration::from_secs(60), World::is_settled);
    assert!(up, "the first plan was not carried out without any fault");
    // Wait until duplicates of the orders so far can't arrive any more.
    w.run(Duration::from_secs(301));
    w.require_reachable();
    w.must_be_reachable.remove("old");
    w.confirm(second_intent());
    w.run(Duration::from_millis(after_ms));
    for (fault, zone) in faults.iter().zip(zones) {
        // With one replica in each of two zones, a second engine must not fail before the models of the
        // first one are loaded elsewhere. So both engine faults hit the same zone.
        let zone = if is_engine_fault(*fault) { "b" } else { zone };
        inject(&mut w, *fault, zone);
    }
    w.run(Duration::from_secs(40));
    w.end_faults();
    for e in w.engines.values_mut().filter(|e| !e.up) {
        e.restart();
    }
    w.unlisted.clear();
    let done = w.run_until(Duration::from_secs(1500), World::is_settled);
    assert!(
        done,
        "the plan was not carried out: {:#?}",
        describe_unfinished(&w)
    );
}

fn is_engine_fault(f: Fault) -> bool {
    matches!(
        f,
        Fault::EngineRestarted | Fault::EngineDown | Fault::EngineUnlisted
    )
}

#[test]
fn plan_without_fault() {
    run_case(&[], 0);
}

/// Runs cases on a few threads; each case has its own world, so they are independent.
fn run_all(cases: &[(Vec<Fault>, u64)]) {
    const THREADS: usize = 4;
    std::thread::scope(|scope| {
        for part in cases.chunks(cases.len().div_ceil(THREADS)) {
            scope.spawn(move || {
                for (faults, after_ms) in part {
                    let res = std::panic::catch_unwind(|| run_case(faults, *after_ms));
                    assert!(res.is_ok(), "{faults:?} after {after_ms} ms");
                }
            });
        }
    });
}

#[test]
fn plan_with_each_fault() {
    let times = [200, 1_000, 2_200, 4_000];
    let cases: Vec<_> = FAULTS
        .iter()
        .flat_map(|f| times.map(|after_ms| (vec![*f], after_ms)))
        .collect();
    run_all(&cases);
}

#[test]
fn plan_with_each_two_faults() {
    let cases: Vec<_> = FAULTS
        .iter()
        .flat_map(|first| FAULTS.iter().map(|second| (vec![*first, *second], 1_200)))
        .collect();
    run_all(&cases);
}
