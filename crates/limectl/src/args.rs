//! Reads the command line.

use limehollow::id::Offset;
use limehollow_edge::Result;
use limehollow_edge::error::UsageSnafu;
use std::ffi::OsString;
use std::path::PathBuf;

/// The text of `--help`.
pub const HELP: &str = "\
limectl: the operators' command line of limehollow

Usage: limectl --platform IP:PORT [OPTIONS] COMMAND

Commands:
  intent check FILE             check an intent file and end
  intent publish FILE           publish an intent
  plan show                     wait for the latest intent's plan and show it
  plan confirm OFFSET           confirm a plan
  plan reject OFFSET            reject a plan
  wait                          wait until the plan in force is carried out
  status                        show what is in force, by process with --admin
  explain model NAME            say why a model is where it is
  explain endpoint NAME         say what an endpoint holds and since when
  explain order OFFSET          say what became of an order
  dump IP:PORT                  print the whole state of a process
  check-settings ROLE FILE      check the settings of a gateway or controller

Options:
  -p, --platform IP:PORT        the platform's services
  -o, --operator NAME           who you are [default: $USER]
  -a, --admin IP:PORT           the administration port of a process; may stand again
  -t, --timeout-ms N            how long to wait [default: 30000]
  -h, --help                    print this and end
  -V, --version                 print the version and end

Exit codes: 0 done, 1 failed, 2 wrong command line or file, 3 refused, overtaken or not there
";

const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check an intent file.
    IntentCheck(PathBuf),
    /// Publish an intent.
    IntentPublish(PathBuf),
    /// Show the latest intent's plan.
    PlanShow,
    /// Confirm a plan.
    PlanConfirm(Offset),
    /// Reject a plan.
    PlanReject(Offset),
    /// Wait until the plan in force is carried out.
    Wait,
    /// Show what is in force.
    Status,
    /// Explain a model.
    ExplainModel(String),
    /// Explain an endpoint.
    ExplainEndpoint(String),
    /// Explain an order.
    ExplainOrder(Offset),
    /// Print the state of a process.
    Dump(String),
    /// Check a settings file of a role.
    CheckSettings(String, PathBuf),
}

/// A command with its options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The command.
    pub command: Command,
    /// The platform, as `IP:PORT`.
    pub platform: Option<String>,
    /// Who calls.
    pub operator: String,
    /// Administration ports of processes.
    pub admins: Vec<String>,
    /// How long to wait, in milliseconds.
    pub timeout_ms: u64,
}

/// What a command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Run a command.
    Run(Call),
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// Reads a command line, without the program's own name.
///
/// # Errors
///
/// [`limehollow_edge::Error::Usage`] says what is wrong.
pub fn parse<I>(args: I) -> Result<Parsed>
where
    I: IntoIterator<Item = OsString>,
{
    use lexopt::prelude::{Long, Short, Value, ValueExt};
    let mut parser = lexopt::Parser::from_args(args);
    let mut words = Vec::new();
    let mut platform = None;
    let mut operator = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let mut admins = Vec::new();
    let mut timeout_ms = DEFAULT_TIMEOUT_MS;
    let usage = |e: lexopt::Error| UsageSnafu { why: e.to_string() }.build();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Short('p') | Long("platform") => {
                platform = Some(parser.value().map_err(usage)?.string().map_err(usage)?);
            }
            Short('o') | Long("operator") => {
                operator = parser.value().map_err(usage)?.string().map_err(usage)?;
            }
            Short('a') | Long("admin") => {
                admins.push(parser.value().map_err(usage)?.string().map_err(usage)?);
            }
            Short('t') | Long("timeout-ms") => {
                timeout_ms = parser.value().map_err(usage)?.parse().map_err(usage)?;
            }
            Short('h') | Long("help") => return Ok(Parsed::Help),
            Short('V') | Long("version") => return Ok(Parsed::Version),
            Value(v) => words.push(v.string().map_err(usage)?),
            _ => return Err(usage(arg.unexpected())),
        }
    }
    let command = command(&words)?;
    Ok(Parsed::Run(Call {
        command,
        platform,
        operator,
        admins,
        timeout_ms,
    }))
}

fn command(words: &[String]) -> Result<Command> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Ok(match words.as_slice() {
        ["intent", "check", file] => Command::IntentCheck(file.into()),
        ["intent", "publish", file] => Command::IntentPublish(file.into()),
        ["plan", "show"] => Command::PlanShow,
        ["plan", "confirm", n] => Command::PlanConfirm(offset(n)?),
        ["plan", "reject", n] => Command::PlanReject(offset(n)?),
        ["wait"] => Command::Wait,
        ["status"] => Command::Status,
        ["explain", "model", name] => Command::ExplainModel((*name).to_owned()),
        ["explain", "endpoint", name] => Command::ExplainEndpoint((*name).to_owned()),
        ["explain", "order", n] => Command::ExplainOrder(offset(n)?),
        ["dump", address] => Command::Dump((*address).to_owned()),
        ["check-settings", role, file] => Command::CheckSettings((*role).to_owned(), file.into()),
        [] => {
            return UsageSnafu {
                why: "a command is missing",
            }
            .fail();
        }
        other => {
            let why = format!("there is no command {:?}", other.join(" "));
            return UsageSnafu { why }.fail();
        }
    })
}

fn offset(s: &str) -> Result<Offset> {
    match s.parse() {
        Ok(n) => Ok(Offset(n)),
        Err(_) => UsageSnafu {
            why: format!("an offset is a whole number, not {s:?}"),
        }
        .fail(),
    }
}
