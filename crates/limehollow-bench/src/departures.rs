//! How long the VMs of a site take to learn that an endpoint leaves, from the lines that the processes wrote.
//!
//! For each endpoint: which VM knew first, which last and by which way, what was held back, and what was still sent
//! there after the time that the site allows (`docs/OPERATIONS.md`). Only as much is seen as was logged, so the
//! requests are a floor.

use crate::lines;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};

/// A line of a process, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Line {
    message: String,
    instance: Option<String>,
    endpoint: Option<String>,
    leaving: Option<bool>,
    learnt: Option<String>,
    list_age_ms: Option<u64>,
}

/// A VM that learnt that an endpoint leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Learnt {
    /// When, in seconds.
    pub at_s: f64,
    /// The VM.
    pub vm: String,
    /// By which way: the store, a neighbour, another VM's state; none where the VM dropped what it had held back.
    pub by: Option<String>,
}

/// What is known of one endpoint that left.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Departure {
    /// The VMs, in the order in which they learnt of it.
    pub learnt: Vec<Learnt>,
    /// VMs that held its removal back.
    pub held_back: usize,
    /// Requests that were sent there later than allowed: seconds after the first VM knew, the VM, and how old its
    /// list was in ms.
    pub late: Vec<(f64, String, Option<u64>)>,
}

impl Departure {
    /// Gives the seconds from the first VM that knew to the last.
    #[must_use]
    pub fn spread_s(&self) -> f64 {
        match (self.learnt.first(), self.learnt.last()) {
            (Some(first), Some(last)) => last.at_s - first.at_s,
            _ => 0.0,
        }
    }
}

/// All endpoints that left in a played day.
#[derive(Debug, Default)]
pub struct Departures {
    rows: BTreeMap<String, Departure>,
    allowed_s: f64,
}

impl Departures {
    /// Reads lines that end in a JSON object, each behind the time in seconds and the name of the VM; others are
    /// passed over. Requests that are sent later than `allowed_s` after the first VM knew are late.
    pub fn read<I, S>(lines: I, allowed_s: f64) -> Self
    where
        I: IntoIterator<Item = S>,
        S: AsRef<str>,
    {
        let mut d = Self {
            allowed_s,
            ..Self::default()
        };
        let mut sent: Vec<(f64, String, String, Option<u64>)> = Vec::new();
        for line in lines {
            let Some(line) = lines::parse::<Line>(line.as_ref()) else {
                continue;
            };
            // The lines of a process that was killed may end in the middle.
            let Ok(l) = line.said else {
                continue;
            };
            let (at_s, vm) = (line.at_s, line.vm.to_owned());
            if l.message == "sent" {
                if let Some(e) = l.endpoint {
                    sent.push((at_s, vm, e, l.list_age_ms));
                }
            } else {
                d.note(at_s, vm, l);
            }
        }
        for row in d.rows.values_mut() {
            row.learnt.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        }
        for (at_s, vm, endpoint, age) in sent {
            d.note_sent(at_s, vm, &endpoint, age);
        }
        d
    }

    /// Gives what is known of an endpoint.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<&Departure> {
        self.rows.get(instance)
    }

    fn note(&mut self, at_s: f64, vm: String, l: Line) {
        let leaves = l.leaving == Some(true) && l.message == "endpoint listed";
        let is_gone = l.message == "endpoint is off the list";
        let Some(instance) = l.instance else {
            return;
        };
        if l.message == "a removal is held back" {
            self.rows.entry(instance).or_default().held_back += 1;
        } else if leaves || is_gone {
            let row = self.rows.entry(instance).or_default();
            if row.learnt.iter().all(|k| k.vm != vm) {
                let by = l.learnt;
                row.learnt.push(Learnt { at_s, vm, by });
            }
        }
    }

    fn note_sent(&mut self, at_s: f64, vm: String, endpoint: &str, age: Option<u64>) {
        let Some(row) = self.rows.get_mut(endpoint) else {
            return;
        };
        if let Some(first) = row.learnt.first()
            && at_s - first.at_s > self.allowed_s
        {
            row.late.push((at_s - first.at_s, vm, age));
        }
    }
}

impl Display for Departures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let vms: BTreeSet<&str> = self
            .rows
            .values()
            .flat_map(|r| r.learnt.iter().map(|k| k.vm.as_str()))
            .collect();
        writeln!(
            f,
            "{} endpoints left; {} VMs learnt of it",
            self.rows.len(),
            vms.len()
        )?;
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by(|(_, a), (_, b)| b.spread_s().total_cmp(&a.spread_s()));
        for (instance, row) in rows {
            let (Some(first), Some(last)) = (row.learnt.first(), row.learnt.last()) else {
                continue;
            };
            write!(
                f,
                "{instance}  first {:.2} s {}; last +{:.2} s {} by {}; {} VMs, held back by {}",
                first.at_s,
                first.vm,
                row.spread_s(),
                last.vm,
                last.by.as_deref().unwrap_or("the end of a hold"),
                row.learnt.len(),
                row.held_back,
            )?;
            if let Some((after_s, vm, age)) = row.late.last() {
                write!(
                    f,
                    "; {} sent late, last +{after_s:.2} s {vm}",
                    row.late.len()
                )?;
                if let Some(age) = age {
                    write!(f, " with a list {age} ms old")?;
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
