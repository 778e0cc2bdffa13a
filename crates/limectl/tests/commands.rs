//! The operators' command line: words, files and exit codes.

use limectl::args::{Command, Parsed, parse};
use limectl::command::run;
use limectl::intent_file::IntentFile;
use limehollow::id::Offset;
use limehollow_edge::Exit;
use limehollow_edge::settings::parse as parse_file;
use std::ffi::OsString;

fn words(line: &str) -> Vec<OsString> {
    line.split_whitespace().map(OsString::from).collect()
}

#[test]
fn parse_commands() {
    let cases = [
        (
            "intent publish a.toml",
            Command::IntentPublish("a.toml".into()),
        ),
        ("plan confirm 61", Command::PlanConfirm(Offset(61))),
        ("plan reject 61", Command::PlanReject(Offset(61))),
        ("explain endpoint e1", Command::ExplainEndpoint("e1".into())),
        ("explain order 7", Command::ExplainOrder(Offset(7))),
        ("status", Command::Status),
    ];
    for (line, command) in cases {
        let Ok(Parsed::Run(call)) = parse(words(line)) else {
            panic!("{line} is a command")
        };
        assert_eq!(call.command, command);
    }
}

#[test]
fn parse_wrong_words() {
    let cases = [
        ("", "a command is missing; see --help"),
        (
            "plan burn 3",
            "there is no command \"plan burn 3\"; see --help",
        ),
        (
            "plan confirm soon",
            "an offset is a whole number, not \"soon\"; see --help",
        ),
    ];
    for (line, why) in cases {
        assert_eq!(
            parse(words(line)).expect_err("it is wrong").to_string(),
            why
        );
    }
}

#[test]
fn intent_file_errors() {
    let model = "[[models]]\nname = \"m\"\nversion = \"1\"\n";
    let cases = [
        (format!("{model}memory_mib = 1\n"), None),
        (
            format!("{model}memory_mib = 0\n"),
            Some("f.toml:1: models: intent: model m: bytes must be more than 0"),
        ),
        (
            format!("{model}memory_mib = 1\npriority = \"urgent\"\n"),
            Some(
                "f.toml:5: priority: unknown variant `urgent`, expected one of `low`, `normal`, `high`",
            ),
        ),
        (
            format!("{model}memory_mb = 1\n"),
            Some("f.toml:4: memory_mb: unknown field `memory_mb`"),
        ),
    ];
    for (text, expected) in cases {
        let got = parse_file::<IntentFile>("f.toml", &text)
            .map_err(|e| e.to_string())
            .err();
        match (&got, expected) {
            (Some(g), Some(e)) => assert!(g.starts_with(e), "{g}"),
            _ => assert_eq!(got.is_none(), expected.is_none(), "{got:?}"),
        }
    }
}

#[tokio::test]
async fn run_exit_codes() {
    let cases = [
        (
            "status",
            Exit::Usage,
            "--platform IP:PORT is missing; see --help",
        ),
        (
            "intent check no-such-file.toml",
            Exit::Usage,
            "no-such-file.toml: ",
        ),
        (
            "check-settings toaster x.toml",
            Exit::Usage,
            "a role is gateway or controller, not \"toaster\"",
        ),
        (
            "-p 127.0.0.1:1 status",
            Exit::Failed,
            "log read: no connection",
        ),
    ];
    for (line, exit, why) in cases {
        let Ok(Parsed::Run(call)) = parse(words(line)) else {
            panic!("{line} is a command")
        };
        let e = run(&call).await.expect_err("it can't be done");
        assert_eq!(e.exit(), exit, "{line}");
        assert!(e.to_string().starts_with(why), "{line}: {e}");
    }
}
