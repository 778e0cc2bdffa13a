//! Errors of settings files name the file, the line and the key; errors of command lines name the option.

use limehollow_edge::args::{Args, Parsed, Program};
use limehollow_edge::logs::Format;
use limehollow_edge::settings::{Invalid, Settings, check_address, check_range, parse};
use serde::Deserialize;
use std::ffi::OsString;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    address: String,
    #[serde(default)]
    limits: Limits,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Limits {
    bytes: u64,
}

impl Settings for Sample {
    fn check(&self) -> Result<(), Invalid> {
        check_address("address", &self.address)?;
        check_range("limits.bytes", self.limits.bytes, 0..=10)
    }
}

#[test]
fn parse_error_names_file_line_and_key() {
    let cases = [
        ("address = \"127.0.0.1:1\"\n", None),
        (
            "address = \"localhost:1\"\n",
            Some(
                "s.toml:1: address: must be an IP number and a port, as 127.0.0.1:7000, not \"localhost:1\"",
            ),
        ),
        (
            "address = \"127.0.0.1:1\"\n[limits]\nbytes = 11\n",
            Some("s.toml:3: limits.bytes: must be 0 to 10, not 11"),
        ),
        (
            "address = \"127.0.0.1:1\"\n[limits]\nbytes = \"few\"\n",
            Some("s.toml:3: bytes: invalid type: string \"few\", expected u64"),
        ),
        (
            "address = \"127.0.0.1:1\"\n\nadress = 3\n",
            Some("s.toml:3: adress: unknown field `adress`, expected `address` or `limits`"),
        ),
        ("[limits]\n", Some("s.toml:1: missing field `address`")),
    ];
    for (text, expected) in cases {
        let got = parse::<Sample>("s.toml", text)
            .map_err(|e| e.to_string())
            .err();
        assert_eq!(got.as_deref(), expected, "{text}");
    }
}

#[test]
fn parse_invalid_toml() {
    let e = parse::<Sample>("s.toml", "address = \n")
        .expect_err("the key has no value")
        .to_string();
    assert!(e.starts_with("s.toml:1: address: "), "{e}");
}

const PROGRAM: Program = Program {
    name: "sample",
    version: "1.2.3",
    about: "A sample.",
};

fn split_args(line: &str) -> Vec<OsString> {
    line.split_whitespace().map(OsString::from).collect()
}

#[test]
fn args_run() {
    let parsed = PROGRAM.parse(split_args(
        "-s a.toml --check --log-format json --log-level debug",
    ));
    let expected = Args {
        settings: "a.toml".into(),
        check: true,
        log_format: Format::Json,
        log_level: "debug".to_owned(),
    };
    assert_eq!(
        parsed.expect("the command line is valid"),
        Parsed::Run(expected)
    );
}

#[test]
fn args_help_and_version() {
    for (line, begins) in [
        ("--help", "sample 1.2.3\nA sample.\n"),
        ("-V", "sample 1.2.3\n"),
    ] {
        let Ok(Parsed::Print(text)) = PROGRAM.parse(split_args(line)) else {
            panic!("{line} prints")
        };
        assert!(text.starts_with(begins), "{text}");
    }
}

#[test]
fn args_invalid() {
    let cases = [
        ("", "--settings FILE is missing; see --help"),
        ("--nothing", "invalid option '--nothing'; see --help"),
        (
            "-s a --log-format xml",
            "--log-format must be json or text, not \"xml\"; see --help",
        ),
        ("-s", "missing argument for option '-s'; see --help"),
    ];
    for (line, why) in cases {
        let e = PROGRAM
            .parse(split_args(line))
            .expect_err("the command line is invalid")
            .to_string();
        assert_eq!(e, why, "{line}");
    }
}
