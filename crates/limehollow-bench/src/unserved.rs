//! Which models and adapters callers asked for again and again and never got, and how late they were loaded.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// What is asked for so many times, over so many seconds, counts as asked for all along.
const ASKED_OFTEN: usize = 4;
const ASKED_OVER_S: f64 = 8.0;
/// How many of those that were never served are named.
const SHOWN: usize = 12;

/// What became of the requests for one model or adapter.
#[derive(Debug, Default)]
struct Row {
    asked: usize,
    answered: usize,
    first_s: f64,
    last_s: f64,
    /// When a request was first refused because it was nowhere, since it was last loaded.
    missed_s: Option<f64>,
}

impl Row {
    fn is_asked_often(&self) -> bool {
        self.asked >= ASKED_OFTEN && self.last_s - self.first_s >= ASKED_OVER_S
    }
}

/// The requests for each model and adapter, by the name that requests carry.
#[derive(Debug, Default)]
pub(crate) struct Unserved {
    rows: BTreeMap<String, Row>,
    /// What each request asked for.
    asked: BTreeMap<String, String>,
    /// From a first refusal to the load that it led to, in s.
    delays_s: Vec<f64>,
}

/// Gives the name of a model or of one of its adapters.
pub(crate) fn name(model: &str, adapter: Option<&str>) -> String {
    adapter.map_or_else(|| model.to_owned(), |a| format!("{model}/{a}"))
}

/// Queries.
impl Unserved {
    /// Gives the names of what was asked for all along and never served.
    pub(crate) fn never(&self) -> impl Iterator<Item = &str> {
        let often = self.rows.iter().filter(|(_, r)| r.is_asked_often());
        let never = often.filter(|(_, r)| r.answered == 0);
        never.map(|(name, _)| name.as_str())
    }

    fn asked_often(&self) -> usize {
        self.rows.values().filter(|r| r.is_asked_often()).count()
    }

    /// Gives the delay that so many of a hundred loads don't exceed.
    fn delay_s(&self, percent: usize) -> Option<f64> {
        let mut sorted = self.delays_s.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().checked_sub(1)?;
        sorted.get(last * percent / 100).copied()
    }
}

/// Commands.
impl Unserved {
    /// Takes in that a request was sent on, or given up.
    pub(crate) fn note_asked(&mut self, at_s: f64, id: &str, name: String) {
        if self.asked.contains_key(id) {
            return;
        }
        let row = self.rows.entry(name.clone()).or_default();
        if row.asked == 0 {
            row.first_s = at_s;
        }
        row.asked += 1;
        row.last_s = at_s;
        self.asked.insert(id.to_owned(), name);
    }

    /// Takes in that a request was refused because what it asked for was nowhere.
    pub(crate) fn note_missed(&mut self, at_s: f64, id: &str) {
        let row = self.asked.get(id).and_then(|n| self.rows.get_mut(n));
        if let Some(row) = row {
            row.missed_s.get_or_insert(at_s);
        }
    }

    /// Takes in that the answer to a request began.
    pub(crate) fn note_answered(&mut self, id: &str) {
        let row = self.asked.get(id).and_then(|n| self.rows.get_mut(n));
        if let Some(row) = row {
            row.answered += 1;
        }
    }

    /// Takes in that an endpoint was ordered to load something, and does.
    pub(crate) fn note_load(&mut self, at_s: f64, name: &str) {
        let missed = self.rows.get_mut(name).and_then(|r| r.missed_s.take());
        self.delays_s.extend(missed.map(|t| at_s - t));
    }
}

impl Display for Unserved {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let never: Vec<&str> = self.never().collect();
        let often = self.asked_often();
        write!(f, "{} of {often} never served", never.len())?;
        for name in never.iter().take(SHOWN) {
            write!(f, " {name}")?;
        }
        writeln!(f)?;
        let delays = [10, 50, 90].map(|p| self.delay_s(p));
        if let [Some(tenth), Some(median), Some(ninetieth)] = delays {
            let n = self.delays_s.len();
            writeln!(
                f,
                "{n} loads after a refusal, {tenth:.2} s, {median:.2} s, {ninetieth:.2} s later (tenth, median, ninetieth)"
            )?;
        }
        Ok(())
    }
}
