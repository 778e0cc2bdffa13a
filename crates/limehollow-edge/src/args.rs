//! The command line options that all daemons share.

use crate::error::{Exit, Result, UsageSnafu};
use crate::logs::Format;
use std::ffi::OsString;
use std::path::PathBuf;

/// The name, version and description of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The program's name.
    pub name: &'static str,
    /// The program's version.
    pub version: &'static str,
    /// A description of the program in one sentence.
    pub about: &'static str,
}

/// The command line arguments of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// The path of the settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
    /// The format of log lines.
    pub log_format: Format,
    /// The log filter: a level, or directives in the syntax of `tracing_subscriber`'s `EnvFilter`.
    pub log_level: String,
}

/// The result of parsing a command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Run the daemon with these arguments.
    Run(Args),
    /// Print this text and exit.
    Print(String),
}

impl Program {
    /// Returns the text of `--help`.
    #[must_use]
    pub fn help(&self) -> String {
        format!(
            "{name} {version}\n{about}\n\n\
             Usage: {name} --settings FILE [OPTIONS]\n\n\
             Options:\n  \
             -s, --settings FILE   the settings, in TOML (docs/settings.md)\n  \
             -c, --check           check the settings and end\n      \
             --log-format FORMAT   json or text [default: text]\n      \
             --log-level LEVEL     error, warn, info, debug or trace [default: info]\n  \
             -h, --help            print this and end\n  \
             -V, --version         print the version and end\n\n\
             Exit codes: 0 done, 1 failed, 2 wrong command line or settings, 3 refused\n",
            name = self.name,
            version = self.version,
            about = self.about
        )
    }

    /// Parses a command line, given without the program's name.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Usage`], which names what is wrong.
    pub fn parse<I>(&self, args: I) -> Result<Parsed>
    where
        I: IntoIterator<Item = OsString>,
    {
        use lexopt::prelude::{Long, Short, ValueExt};
        let mut parser = lexopt::Parser::from_args(args);
        let mut settings = None;
        let mut check = false;
        let mut log_format = Format::Text;
        let mut log_level = "info".to_owned();
        while let Some(arg) = parser.next().map_err(usage)? {
            match arg {
                Short('s') | Long("settings") => {
                    settings = Some(PathBuf::from(parser.value().map_err(usage)?));
                }
                Short('c') | Long("check") => check = true,
                Long("log-format") => {
                    let value = parser.value().map_err(usage)?.string().map_err(usage)?;
                    log_format = Format::parse(&value)?;
                }
                Long("log-level") => {
                    log_level = parser.value().map_err(usage)?.string().map_err(usage)?;
                }
                Short('h') | Long("help") => return Ok(Parsed::Print(self.help())),
                Short('V') | Long("version") => {
                    return Ok(Parsed::Print(format!("{} {}\n", self.name, self.version)));
                }
                _ => return Err(usage(arg.unexpected())),
            }
        }
        let Some(settings) = settings else {
            return UsageSnafu {
                why: "--settings FILE is missing",
            }
            .fail();
        };
        Ok(Parsed::Run(Args {
            settings,
            check,
            log_format,
            log_level,
        }))
    }

    /// Parses the command line of this process. Prints the help, version or error text if the process
    /// must exit.
    ///
    /// # Errors
    ///
    /// Returns the exit code if the process must exit.
    pub fn parse_or_exit(&self) -> Result<Args, Exit> {
        match self.parse(std::env::args_os().skip(1)) {
            Ok(Parsed::Run(args)) => Ok(args),
            Ok(Parsed::Print(text)) => {
                print!("{text}");
                Err(Exit::Ok)
            }
            Err(e) => {
                eprintln!("{}: {e}", self.name);
                Err(Exit::from(&e))
            }
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature is the one that map_err requires"
)]
fn usage(e: lexopt::Error) -> crate::Error {
    UsageSnafu { why: e.to_string() }.build()
}
