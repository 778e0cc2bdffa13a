//! Tests that the codecs decode what they encode, and that invalid input gives an error instead of a panic.

use bolero::check;
use limehollow::claim::{ClaimRecord, Claimant};
use limehollow::fleet::Fleet;
use limehollow::id::Offset;
use limehollow::listing::{Listed, ListedKind};
use limehollow::membership::Heartbeat;
use limehollow::record::{Answer, AnswerKind, Content, LeaseTaken, Record};
use limehollow_wire::peer::{Digest, Reply, Request, WireHeartbeat};
use limehollow_wire::platform::Member;
use limehollow_wire::{claim, peer, record};

#[test]
fn record_roundtrip_and_text() {
    let lease = LeaseTaken {
        zone: "a".into(),
        holder: "vm-1".into(),
        incarnation: 7,
        replaces: Some(Offset(3)),
    };
    let r = Record::LeaseTaken(lease);
    let text = record::encode(&r);
    let expected = r#"{"v":1,"rec":"lease_taken","body":{"zone":"a","holder":"vm-1","incarnation":7,"replaces":3}}"#;
    assert_eq!(text, expected);
    assert_eq!(
        record::decode(&text).expect("encoded by the same release"),
        Content::Record(r)
    );
    let answer = Answer {
        plan: Offset(9),
        operator: "ana".into(),
        kind: AnswerKind::Reject,
    };
    let r = Record::Answer(answer);
    assert_eq!(
        record::decode(&record::encode(&r)).expect("encoded by the same release"),
        Content::Record(r)
    );
}

#[test]
fn record_snapshot_roundtrip() {
    let text = record::encode_snapshot(&Fleet::default());
    let content = record::decode(&text).expect("encoded by the same release");
    assert_eq!(
        content,
        Content::Snapshot {
            next: Offset(0),
            fleet: Box::default()
        }
    );
}

#[test]
fn record_of_unknown_version_or_kind() {
    for text in [
        r#"{"v":2,"rec":"lease_taken","body":{"something":"else"}}"#,
        r#"{"v":1,"rec":"not_yet_invented","body":{}}"#,
    ] {
        assert_eq!(
            record::decode(text).expect("an unknown version or kind is no error"),
            Content::Unknown,
            "{text}"
        );
    }
}

#[test]
fn record_error_has_line_and_column() {
    let e = record::decode("{\"v\":1,\n\"rec\":")
        .expect_err("the record is truncated")
        .to_string();
    assert!(e.starts_with("line 2, column 6: "), "{e}");
}

#[test]
fn claim_roundtrip() {
    let address = "127.0.0.1:1".into();
    let claimant = Claimant {
        vm: "vm-1".into(),
        incarnation: 3,
        number: 4,
        address,
    };
    let batch = [
        ClaimRecord::Claim(u128::MAX, claimant.clone()),
        ClaimRecord::Release(5, claimant),
    ];
    let decoded = claim::decode(&claim::encode(&batch)).expect("encoded by the same release");
    assert_eq!(decoded.as_deref(), Some(&batch[..]));
    assert_eq!(
        claim::decode(r#"{"v":9}"#).expect("an unknown version or kind is no error"),
        None
    );
    let invalid = r#"{"v":1,"claims":[{"key":"xyz","vm":"v","inc":1,"num":1,"at":""}]}"#;
    let e = claim::decode(invalid)
        .expect_err("the key isn't hexadecimal")
        .to_string();
    assert_eq!(e, "key: must be 32 hexadecimal digits");
}

#[test]
fn peer_version_is_checked() {
    let mut buf = peer::encode(&Request::State);
    assert_eq!(
        peer::decode::<Request>(&buf).expect("encoded by the same release"),
        Request::State
    );
    buf[0] = 9;
    let e = peer::decode::<Request>(&buf)
        .expect_err("the version is unknown")
        .to_string();
    assert_eq!(e, "schema version 9 is not known; this release reads 1");
    assert!(peer::decode::<Request>(&[]).is_err());
}

#[test]
fn peer_heartbeat_name_is_checked() {
    let name = "x".repeat(129);
    let h = Heartbeat {
        vm: name.as_str().into(),
        incarnation: 1,
        counter: 1,
        next: Offset(1),
    };
    assert!(Heartbeat::try_from(WireHeartbeat::from(&h)).is_err());
}

#[test]
fn member_kinds() {
    let row = |kind: &str, service: Option<&str>| Member {
        vm: "vm".into(),
        zone: "a".into(),
        address: "127.0.0.1:1".into(),
        kind: kind.into(),
        leaving: false,
        checks_fencing: true,
        service: service.map(Into::into),
    };
    let kind = |m: Member| {
        Listed::try_from(m)
            .map(|l| l.kind)
            .map_err(|e| e.to_string())
    };
    assert_eq!(
        kind(row("engine", None)),
        Ok(ListedKind::Engine {
            checks_fencing: true
        })
    );
    assert_eq!(
        kind(row("service", Some("p"))),
        Ok(ListedKind::Service { name: "p".into() })
    );
    assert_eq!(
        kind(row("service", None)),
        Err("service: a plain service needs a name".into())
    );
    let why = "kind: must be \"entry\", \"engine\" or \"service\"";
    assert_eq!(kind(row("other", None)), Err(why.into()));
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    check!()
        .with_iterations(20_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let _request = peer::decode::<Request>(bytes);
            let _reply = peer::decode::<Reply>(bytes);
            let mut with_version = vec![peer::SCHEMA];
            with_version.extend_from_slice(bytes);
            if let Ok(Request::Gossip(Digest { heartbeats, .. })) = peer::decode(&with_version) {
                for h in heartbeats {
                    let _checked = Heartbeat::try_from(h);
                }
            }
            if let Ok(text) = std::str::from_utf8(bytes) {
                let _record = record::decode(text);
                let _claims = claim::decode(text);
            }
        });
}
