//! At-most-once execution: compares what the service ran with the answers that callers received.

mod rig;

use rig::{Gateway, Rig, header};
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

async fn rig_with_two_gateways() -> (Rig, Gateway, Gateway) {
    let mut rig = Rig::new(0).await;
    rig.add_service().await;
    let (one, two) = (rig.gateway("vm-1", "").await, rig.gateway("vm-2", "").await);
    (rig, one, two)
}

/// Sends a call with an idempotency key and returns its status, verdict and body.
async fn keyed_call(g: &Gateway, key: &str) -> (u16, String, String) {
    let res = g.keyed_call(key, "return").send().await.expect("an answer");
    let (status, verdict) = (res.status().as_u16(), header(&res, "x-limehollow-verdict"));
    (
        status,
        verdict,
        res.text().await.expect("the body is complete"),
    )
}

#[tokio::test]
async fn key_on_two_gateways_at_once() {
    let (rig, one, two) = rig_with_two_gateways().await;
    for n in 0..25 {
        let key = format!("key-{n}");
        let calls = (0..4).map(|i| {
            let req = if i % 2 == 0 {
                one.keyed_call(&key, "return")
            } else {
                two.keyed_call(&key, "return")
            };
            tokio::spawn(req.send())
        });
        let calls: Vec<_> = calls.collect();
        let mut results = 0;
        for c in calls {
            let res = c.await.expect("the task ends").expect("an answer");
            results += usize::from(res.status() == 200);
            if res.status() != 200 {
                assert_eq!(
                    header(&res, "x-limehollow-verdict"),
                    "unknown",
                    "the request runs"
                );
                assert!(!header(&res, "retry-after").is_empty());
            }
        }
        assert!(results >= 1, "{key} has no result");
        assert_eq!(rig.service_runs(&key).await, 1, "{key}");
    }
}

#[tokio::test]
async fn key_again_gives_the_same_result() {
    let (rig, one, two) = rig_with_two_gateways().await;
    let first = keyed_call(&one, "k").await;
    assert_eq!(first.0, 200);
    assert_eq!(
        keyed_call(&one, "k").await,
        first,
        "from the stored result of the same gateway"
    );
    assert_eq!(
        keyed_call(&two, "k").await,
        first,
        "queried from the gateway that ran the request"
    );
    assert_eq!(rig.service_runs("k").await, 1);
}

#[tokio::test]
async fn key_of_another_caller() {
    let (rig, one, _) = rig_with_two_gateways().await;
    for caller in ["Bearer a", "Bearer b"] {
        let res = one
            .keyed_call("k", "return")
            .header("authorization", caller)
            .send()
            .await;
        assert_eq!(res.expect("an answer").status(), 200);
    }
    assert_eq!(
        rig.service_runs("k").await,
        2,
        "two callers' equal keys are two requests"
    );
}

#[tokio::test]
async fn key_while_log_is_down() {
    let (rig, one, two) = rig_with_two_gateways().await;
    rig.platform_faults(&json!({ "log_down": true })).await;
    for g in [&one, &two] {
        let (status, verdict, _) = keyed_call(g, "k").await;
        assert_eq!((status, verdict.as_str()), (503, "not-run"));
    }
    assert_eq!(
        rig.service_runs("k").await,
        0,
        "the verdict not-run is correct"
    );
    rig.platform_faults(&json!({})).await;
    rig.wait_until("the key can be used again", async || {
        (keyed_call(&two, "k").await.0 == 200).then_some(())
    })
    .await;
    assert_eq!(rig.service_runs("k").await, 1);
}

#[tokio::test]
async fn key_while_appends_are_lost() {
    // In some rounds answers to appends are lost after the appends took effect, in some appends are
    // dropped.
    let (rig, one, two) = rig_with_two_gateways().await;
    for n in 0..10 {
        let key = format!("key-{n}");
        rig.platform_faults(&json!({ "lose_append_answers": n % 3, "drop_appends": n % 2 }))
            .await;
        let answers = [
            keyed_call(&one, &key).await,
            keyed_call(&two, &key).await,
            keyed_call(&one, &key).await,
        ];
        let runs = rig.service_runs(&key).await;
        assert!(runs <= 1, "{key} ran {runs} times: {answers:?}");
        if answers.iter().any(|(status, ..)| *status == 200) {
            assert_eq!(runs, 1);
        }
        if answers.iter().all(|(_, verdict, _)| verdict == "not-run") {
            assert_eq!(
                runs, 0,
                "{key} ran despite the verdict not-run: {answers:?}"
            );
        }
    }
}

#[tokio::test]
async fn key_when_the_service_breaks_off() {
    let (rig, one, two) = rig_with_two_gateways().await;
    rig.service_faults(&json!({ "break_bodies": 1 })).await;
    let (status, verdict, _) = keyed_call(&one, "k").await;
    assert_eq!((status, verdict.as_str()), (502, "unknown"));
    for g in [&one, &two] {
        let (status, verdict, _) = keyed_call(g, "k").await;
        assert_eq!((status, verdict.as_str()), (409, "unknown"));
    }
    assert_eq!(rig.service_runs("k").await, 1);
}

#[tokio::test]
async fn key_of_a_killed_gateway() {
    let (rig, mut one, two) = rig_with_two_gateways().await;
    rig.service_faults(&json!({ "delay_ms": 60_000 })).await;
    let call = tokio::spawn(one.keyed_call("k", "return").send());
    rig.wait_until("the call runs", async || {
        (rig.service_runs("k").await == 1).then_some(())
    })
    .await;
    one.kill();
    assert!(call.await.expect("the task ends").is_err());
    rig.service_faults(&json!({})).await;
    let (status, verdict, _) = keyed_call(&two, "k").await;
    assert_eq!((status, verdict.as_str()), (409, "unknown"));
    assert_eq!(rig.service_runs("k").await, 1);
}

#[tokio::test]
async fn key_of_a_frozen_gateway() {
    // A gateway is frozen between claim and dispatch, or later. Whatever it does when it resumes, the
    // request must not run on both gateways.
    let (rig, one, two) = rig_with_two_gateways().await;
    for n in 0..6 {
        let key = format!("key-{n}");
        let call = tokio::spawn(one.keyed_call(&key, "return").send());
        sleep(Duration::from_millis(n)).await;
        one.signal("STOP");
        let (status, verdict, _) = keyed_call(&two, &key).await;
        one.signal("CONT");
        let first = call.await.expect("the task ends").expect("an answer");
        let runs = rig.service_runs(&key).await;
        assert!(runs <= 1, "{key} ran {runs} times");
        assert!(
            status == 200 || verdict == "unknown" || verdict == "not-run",
            "{status} {verdict}"
        );
        if first.status() == 200 || status == 200 {
            assert_eq!(runs, 1);
        }
    }
}

#[tokio::test]
async fn key_released_when_nothing_ran() {
    // The only endpoint of the service is down: the verdict is not-run, and the key is free for the
    // next attempt on any gateway.
    let rig = Rig::new(0).await;
    let address = rig::free_address();
    rig.add_service_at("portal-1", &address).await;
    let (one, two) = (rig.gateway("vm-1", "").await, rig.gateway("vm-2", "").await);
    let (status, verdict, _) = keyed_call(&one, "k").await;
    assert_eq!((status, verdict.as_str()), (503, "not-run"));
    let settings = stand_ins::service::ServiceSettings {
        name: "portal".into(),
        address,
    };
    tokio::spawn(stand_ins::service::Service::new(settings, 1).serve());
    rig.wait_until("the key is free", async || {
        (keyed_call(&two, "k").await.0 == 200).then_some(())
    })
    .await;
}
