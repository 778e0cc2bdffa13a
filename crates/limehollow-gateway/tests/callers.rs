//! The gateway's HTTP interface for callers: results, error answers that name the invalid part, limits.

mod rig;

use rig::{Rig, client, expected, header, streamed_text};
use serde_json::{Value, json};

#[tokio::test]
async fn completion_whole_and_streamed() {
    let rig = Rig::new(1).await;
    let g = rig.gateway("vm-1", "").await;
    let body = json!({ "model": "m", "prompt": "hello", "max_tokens": 5 });
    let res = g
        .complete(&body)
        .header("x-request-id", "one")
        .send()
        .await
        .expect("an answer");
    assert_eq!(
        (res.status().as_u16(), header(&res, "x-request-id")),
        (200, "one".to_owned())
    );
    let v: Value = res.json().await.expect("it is JSON");
    assert_eq!(v["choices"][0]["text"], expected("hello", 5));
    let body = json!({ "model": "m", "prompt": "hello", "max_tokens": 5, "stream": true });
    let text = g
        .complete(&body)
        .send()
        .await
        .expect("an answer")
        .text()
        .await
        .expect("the body is complete");
    assert_eq!(streamed_text(&text), (expected("hello", 5), true));
}

#[tokio::test]
async fn models_listed() {
    let rig = Rig::new(1).await;
    let g = rig.gateway("vm-1", "").await;
    let res = client()
        .get(format!("{}/v1/models", g.url))
        .send()
        .await
        .expect("an answer");
    let v: Value = res.json().await.expect("it is JSON");
    assert_eq!(v["data"][0]["id"], "m");
    assert_eq!(v["object"], "list");
}

#[tokio::test]
async fn bad_request_is_named() {
    let rig = Rig::new(1).await;
    let g = rig.gateway("vm-1", "").await;
    let good = json!({ "model": "m", "prompt": "x" });
    let headers = [
        (
            "x-limehollow-deadline-ms",
            "soon",
            "header x-limehollow-deadline-ms: must be a whole number from 1 to 3600000, not \"soon\"",
        ),
        (
            "x-limehollow-deadline-ms",
            "0",
            "header x-limehollow-deadline-ms: must be a whole number from 1 to 3600000, not \"0\"",
        ),
        (
            "x-limehollow-priority",
            "urgent",
            "header x-limehollow-priority: must be high, normal or low, not \"urgent\"",
        ),
        (
            "x-limehollow-repeat",
            "maybe",
            "header x-limehollow-repeat: must be never, not \"maybe\"",
        ),
        (
            "idempotency-key",
            "",
            "header idempotency-key: must be 1 to 255 visible ASCII characters",
        ),
    ];
    for (name, value, message) in headers {
        let res = g
            .complete(&good)
            .header(name, value)
            .send()
            .await
            .expect("an answer");
        assert_eq!(res.status(), 400, "{name}");
        assert_eq!(header(&res, "x-limehollow-verdict"), "not-run");
        let v: Value = res.json().await.expect("it is JSON");
        assert_eq!(v["error"]["message"], message);
        assert_eq!(v["error"]["type"], "invalid_request_error");
    }
    let bodies = [
        (json!({ "prompt": "x" }), 400, "invalid_request"),
        (json!({ "model": "m" }), 400, "invalid_request"),
        (
            json!({ "model": "m", "prompt": "x", "max_tokens": 0 }),
            400,
            "invalid_request",
        ),
        (
            json!({ "model": "other", "prompt": "x" }),
            404,
            "model_not_found",
        ),
    ];
    for (body, status, code) in bodies {
        let res = g.complete(&body).send().await.expect("an answer");
        assert_eq!(
            (res.status().as_u16(), header(&res, "x-limehollow-verdict")),
            (status, "not-run".into())
        );
        let v: Value = res.json().await.expect("it is JSON");
        assert_eq!(v["error"]["code"], code, "{body}");
    }
    let paths = [
        ("/services/nothing/x", 404),
        ("/elsewhere", 404),
        ("/v1/models", 200),
    ];
    for (path, status) in paths {
        let res = client()
            .get(format!("{}{path}", g.url))
            .send()
            .await
            .expect("an answer");
        assert_eq!(res.status(), status, "{path}");
    }
}

#[tokio::test]
async fn limits_are_clear() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let rig = Rig::new(1).await;
    let limits = "[limits]\nbody_bytes = 1000\nheader_bytes = 600\nbody_ms = 200\n";
    let g = rig.gateway("vm-1", limits).await;
    let big = json!({ "model": "m", "prompt": "x".repeat(2000) });
    assert_eq!(
        g.complete(&big).send().await.expect("an answer").status(),
        413
    );
    let small = json!({ "model": "m", "prompt": "x" });
    let res = g
        .complete(&small)
        .header("x-long", "y".repeat(700))
        .send()
        .await;
    assert_eq!(res.expect("an answer").status(), 431);
    // A caller that announces a body and sends it too slowly.
    let address = g.url.strip_prefix("http://").expect("it is HTTP");
    let mut slow = tokio::net::TcpStream::connect(address)
        .await
        .expect("it listens");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{";
    slow.write_all(head.as_bytes()).await.expect("it reads");
    let mut buf = vec![0; 1024];
    let n = slow.read(&mut buf).await.expect("it answers");
    assert!(
        buf[..n].starts_with(b"HTTP/1.1 408"),
        "{:?}",
        String::from_utf8_lossy(&buf[..n])
    );
}

#[tokio::test]
async fn service_passed_through() {
    let mut rig = Rig::new(0).await;
    rig.add_service().await;
    let g = rig.gateway("vm-1", "").await;
    let url = format!("{}/services/portal/drafts/7?full=yes", g.url);
    let res = client()
        .put(url)
        .header("connection", "x-own")
        .header("x-own", "1")
        .body("text")
        .send();
    let res = res.await.expect("an answer");
    assert_eq!(
        (res.status().as_u16(), header(&res, "x-receipt")),
        (200, "1".to_owned())
    );
    let text = res.text().await.expect("the body is complete");
    assert_eq!(
        text,
        "portal PUT /drafts/7?full=yes ran as number 1: text\n"
    );
    // A service's own error status is forwarded, without a verdict of the gateway.
    rig.service_faults(&json!({ "fail": 1 })).await;
    let url = format!("{}/services/portal/drafts", g.url);
    let res = client().get(url).send().await.expect("an answer");
    assert_eq!(
        (res.status().as_u16(), header(&res, "x-limehollow-verdict")),
        (500, String::new())
    );
}
