//! Heads of answers that are large or don't end, and the memory that they take.

mod rig;

use limehollow::catalog::Rule;
use limehollow::retry::Repeat;
use rig::reach::{self, CutOffSite, Way};
use rig::unending::{
    Got, MAX_GROWTH_KB, RULE_TIMEOUT, gateway, growth_with_unread, plain_rule, read_answer,
};
use rig::{Does, Server, rule};

const ANSWERS: usize = 300;
/// The bytes of a head before it pauses. The HTTP library takes 417,792 by itself.
const HEAD_BYTES: usize = 390_000;

/// Returns the beginning of a head with this end of it repeated.
fn head_without_end(line: &str) -> Does {
    let begin = "HTTP/1.1 200 x\r\nx-mark: m\r\n";
    let lines = line.repeat((HEAD_BYTES - begin.len()) / line.len());
    Does::WritesAndWaits(format!("{begin}{lines}").into_bytes())
}

/// Guards against a VM going over its memory because many heads of answers don't end.
#[tokio::test]
async fn heads_without_end_keep_memory_bounded() {
    let long_line = format!("x-long: {}", "x".repeat(HEAD_BYTES / 2));
    for line in [&format!("x-a: {}\r\n", "x".repeat(8000)), &long_line] {
        let s = Server::start(vec![head_without_end(line)]).await;
        let g = gateway("", plain_rule(Repeat::Never, 1), &[s.address]).await;
        let (growth, callers) = growth_with_unread(g.address, ANSWERS).await;
        println!("{growth} kB");
        assert!(growth < MAX_GROWTH_KB, "{growth} kB");
        for caller in callers {
            let Got { status, .. } = read_answer(caller).await;
            assert_eq!(status, 502);
        }
    }
}

/// Guards against the same where another VM passes such heads on.
#[tokio::test]
async fn heads_without_end_of_another_vm_keep_memory_bounded() {
    let line = format!("x-a: {}\r\n", "x".repeat(8000));
    let rule = Rule {
        timeout: RULE_TIMEOUT,
        ..rule("/a/", Repeat::Never, 1)
    };
    let mut others = Vec::new();
    let serve = |_, _, peers| others.push(Server::on(peers, vec![head_without_end(&line)]));
    let site = CutOffSite::start_with(45, rule, (3, 3), &[reach::whole("ok")], serve).await;
    site.set_way(0, Way::Refuses).await;
    let vm = &site.vms[0];
    vm.until_cut_off().await;
    let (growth, callers) = growth_with_unread(vm.address, ANSWERS).await;
    println!("{growth} kB, passed on");
    assert!(growth < MAX_GROWTH_KB, "{growth} kB");
    let asked: usize = others.iter().map(Server::requests).sum();
    assert!(asked > 0, "nothing is passed on");
    for caller in callers {
        let got = read_answer(caller).await;
        assert!(got.is_whole && got.status >= 500, "{got:?}");
    }
}

/// Guards against a bound that heads of sound answers exceed.
#[tokio::test]
async fn head_several_times_the_size_of_callers_heads_arrives() {
    let lines = format!("x-a: {}\r\n", "x".repeat(4000)).repeat(14);
    let bytes = format!("HTTP/1.1 200 x\r\nx-mark: m\r\n{lines}content-length: 2\r\n\r\nok");
    let s = Server::start(vec![Does::Writes(bytes.into_bytes())]).await;
    let g = gateway("", plain_rule(Repeat::Never, 1), &[s.address]).await;
    let got = rig::unending::ask(g.address, "1").await;
    let whole = Got {
        status: 200,
        len: 2,
        is_whole: true,
    };
    assert_eq!(got, whole);
}
