//! Where service was lost, from the lines that the processes wrote.
//!
//! An on-call engineer has the logs and nothing else, so this reads nothing else (`docs/OPERATIONS.md`). It counts
//! refusals by reason, tries that failed by what the connection said, and first results and pauses that came late,
//! each by time and by model, beside what the controller was doing.

use crate::lines;
use crate::unserved::{self, Unserved};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};

/// How much of a failed try's cause is kept: the rest names ports and numbers that differ each time.
const CAUSE_LEN: usize = 24;
/// How many kinds of loss a row of the table shows, and how many models.
const SHOWN: usize = 6;
const MODELS_SHOWN: usize = 12;

/// What counts as late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The objective for a first result, in ms.
    pub objective_ms: u64,
    /// The longest pause of a stream that is in time, in ms.
    pub pause_ms: u64,
    /// The length of a row of the table by time, in s.
    pub window_s: f64,
}

/// A line of a process, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Line {
    message: String,
    #[serde(default)]
    id: String,
    model: Option<String>,
    adapter: Option<String>,
    action: Option<String>,
    status: Option<u16>,
    reason: Option<String>,
    why: Option<String>,
    outcome: Option<String>,
    first_ms: Option<u64>,
    longest_pause_ms: Option<u64>,
    models: Option<String>,
}

/// What was lost, by kind of loss.
type Counts = BTreeMap<String, usize>;

/// What the controller was doing in a window.
#[derive(Debug, Default)]
struct Control {
    /// VMs that took the lease.
    holders: BTreeSet<String>,
    moves_begun: usize,
    moves_failed: usize,
    /// Models that were asked for and nowhere.
    missing: BTreeSet<String>,
}

/// What was lost in a played day.
#[derive(Debug, Default)]
pub struct Losses {
    total: Counts,
    by_window: BTreeMap<u64, Counts>,
    by_model: BTreeMap<String, Counts>,
    control: BTreeMap<u64, Control>,
    /// The models of requests, by id: a refusal's own line doesn't name it.
    models: BTreeMap<String, String>,
    unserved: Unserved,
    window_s: f64,
    unread: usize,
}

impl Losses {
    /// Reads lines that end in a JSON object, each behind the time in seconds and the name of the VM; others are
    /// passed over.
    pub fn read<I, S>(lines: I, bounds: Bounds) -> Self
    where
        I: IntoIterator<Item = S>,
        S: AsRef<str>,
    {
        let mut l = Self {
            window_s: bounds.window_s,
            ..Self::default()
        };
        for line in lines {
            l.take_in(line.as_ref(), bounds);
        }
        l
    }

    /// Gives how often a kind of loss was found.
    #[must_use]
    pub fn count(&self, kind: &str) -> usize {
        self.total.get(kind).copied().unwrap_or(0)
    }

    fn take_in(&mut self, line: &str, bounds: Bounds) {
        let Some(l) = lines::parse::<Line>(line) else {
            return;
        };
        match l.said {
            Ok(said) => {
                self.note_service(l.at_s, &said);
                self.note(window(l.at_s, bounds.window_s), l.vm, &said, bounds);
            }
            Err(_) => self.unread += 1,
        }
    }

    /// Takes in what a line says of what was asked for, served and loaded.
    fn note_service(&mut self, at_s: f64, l: &Line) {
        let name = l.model.as_deref();
        let name = name.map(|m| unserved::name(m, l.adapter.as_deref()));
        match (l.message.as_str(), name) {
            ("sent" | "given up", Some(name)) => self.unserved.note_asked(at_s, &l.id, name),
            ("refused", _) if is_missing(l.reason.as_deref()) => {
                self.unserved.note_missed(at_s, &l.id);
            }
            ("answer begins", _) if l.status.is_some_and(|s| s < 300) => {
                self.unserved.note_answered(&l.id);
            }
            ("order", Some(name)) if is_load(l) => self.unserved.note_load(at_s, &name),
            _ => {}
        }
    }

    fn note(&mut self, at: u64, vm: &str, l: &Line, bounds: Bounds) {
        match l.message.as_str() {
            "sent" | "given up" => {
                if let Some(m) = &l.model {
                    self.models.insert(l.id.clone(), m.clone());
                }
            }
            "refused" => {
                let reason = l.reason.as_deref().unwrap_or("no reason");
                self.lose(at, &l.id, format!("refused: {reason}"));
            }
            "try failed" => {
                let why = l.why.as_deref().unwrap_or("no cause");
                let cause: String = why.chars().take(CAUSE_LEN).collect();
                self.lose(at, &l.id, format!("failed: {cause}"));
            }
            "try ended" => self.note_end(at, l, bounds),
            "lease taken" => {
                self.control_at(at).holders.insert(vm.to_owned());
            }
            "move begins" => self.control_at(at).moves_begun += 1,
            "move ended" if l.outcome.as_deref() != Some("done") => {
                self.control_at(at).moves_failed += 1;
            }
            "demand" => {
                let missing = missing(l.models.as_deref().unwrap_or(""));
                self.control_at(at).missing.extend(missing);
            }
            _ => {}
        }
    }

    fn note_end(&mut self, at: u64, l: &Line, bounds: Bounds) {
        let outcome = l.outcome.as_deref().unwrap_or("");
        if matches!(outcome, "broken off" | "expired" | "caller left") {
            self.lose(at, &l.id, outcome.to_owned());
        }
        if l.first_ms.is_some_and(|ms| ms > bounds.objective_ms) {
            self.lose(at, &l.id, "late: first result".to_owned());
        }
        if l.longest_pause_ms.is_some_and(|ms| ms > bounds.pause_ms) {
            self.lose(at, &l.id, "late: pause".to_owned());
        }
    }

    fn lose(&mut self, at: u64, id: &str, kind: String) {
        *self.total.entry(kind.clone()).or_default() += 1;
        let row = self.by_window.entry(at).or_default();
        *row.entry(kind.clone()).or_default() += 1;
        if let Some(model) = self.models.get(id) {
            let row = self.by_model.entry(model.clone()).or_default();
            *row.entry(kind).or_default() += 1;
        }
    }

    fn control_at(&mut self, at: u64) -> &mut Control {
        self.control.entry(at).or_default()
    }
}

/// Tells whether a refusal's reason is that what was asked for is nowhere.
fn is_missing(reason: Option<&str>) -> bool {
    reason.is_some_and(|r| r.starts_with("no endpoint holds"))
}

fn is_load(order: &Line) -> bool {
    order.action.as_deref() == Some("Load") && order.outcome.as_deref() == Some("taken")
}

/// Gives the number of the window that a time is in; what was before the first is in it.
fn window(time_s: f64, window_s: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a day has few windows, and none before the first"
    )]
    let at = (time_s / window_s).max(0.0) as u64;
    at
}

/// Gives the models that have no replica, from a `demand` line: name, demand and replicas of each.
fn missing(models: &str) -> Vec<String> {
    let rows = models.split('(').filter_map(|row| {
        let mut fields = row.split(')').next()?.split(", ");
        let name = fields.next()?.trim_matches('"').to_owned();
        let replicas: f64 = fields.nth(1)?.parse().ok()?;
        (replicas < 1.0).then_some(name)
    });
    rows.collect()
}

impl Display for Losses {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "# by kind")?;
        for (kind, n) in sorted(&self.total) {
            writeln!(f, "{n:>7}  {kind}")?;
        }
        writeln!(f, "\n# by time")?;
        let windows: BTreeSet<u64> = self
            .by_window
            .keys()
            .chain(self.control.keys())
            .copied()
            .collect();
        for at in windows {
            #[expect(clippy::cast_precision_loss, reason = "a day has few windows")]
            let from = at as f64 * self.window_s;
            write!(f, "{from:>7.1} s")?;
            if let Some(row) = self.by_window.get(&at) {
                write_counts(f, row)?;
            }
            if let Some(c) = self.control.get(&at) {
                write!(
                    f,
                    "; moves begun {}, failed {}",
                    c.moves_begun, c.moves_failed
                )?;
                write_names(f, "lease to", &c.holders)?;
                write_names(f, "nowhere", &c.missing)?;
            }
            writeln!(f)?;
        }
        writeln!(f, "\n# by model")?;
        let mut models: Vec<_> = self.by_model.iter().collect();
        models.sort_by_key(|(_, row)| std::cmp::Reverse(row.values().sum::<usize>()));
        for (model, row) in models.into_iter().take(MODELS_SHOWN) {
            write!(f, "{model:>16}")?;
            write_counts(f, row)?;
            writeln!(f)?;
        }
        write!(f, "\n# asked for all along\n{}", self.unserved)?;
        if self.unread > 0 {
            writeln!(f, "\n{} lines could not be read", self.unread)?;
        }
        Ok(())
    }
}

fn write_counts(f: &mut Formatter<'_>, row: &Counts) -> fmt::Result {
    for (kind, n) in sorted(row).into_iter().take(SHOWN) {
        write!(f, "  {kind} {n}")?;
    }
    Ok(())
}

fn write_names(f: &mut Formatter<'_>, what: &str, names: &BTreeSet<String>) -> fmt::Result {
    if names.is_empty() {
        return Ok(());
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    write!(f, ", {what} {}", names.join(" "))
}

/// Gives the most frequent first.
fn sorted(counts: &Counts) -> Vec<(&String, usize)> {
    let mut rows: Vec<(&String, usize)> = counts.iter().map(|(k, n)| (k, *n)).collect();
    rows.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    rows
}
