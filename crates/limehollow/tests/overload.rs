//! A VM that gets more than it bears: played load on one processor, without a network.

use limehollow::overload::{MEASURE_EVERY, Overload, OverloadChange};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// What a request's first step, each later part of its answer, and a refusal cost the processor.
const FIRST: Duration = Duration::from_micros(4000);
const PART: Duration = Duration::from_micros(500);
const REFUSAL: Duration = Duration::from_micros(100);
const PARTS: u32 = 20;
/// The time between two parts.
const PART_EVERY: Duration = Duration::from_millis(40);
/// Requests a second that the processor just bears.
const BEARS: f64 = 70.0;
/// Until its first result a request has this long.
const OBJECTIVE: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrives(Instant),
    Part(Instant, u32),
    Measure,
}

#[derive(Debug, Default)]
struct Report {
    in_time: u32,
    refused: u32,
    slowest_refusal: Duration,
    longest_pause: Duration,
}

/// A processor that does one step after another, in the order in which they become ready.
struct Machine {
    overload: Option<Overload>,
    now: Instant,
    ready: VecDeque<(Instant, Step)>,
    later: Vec<(Instant, Step)>,
    report: Report,
}

impl Machine {
    fn new(is_bounded: bool) -> Self {
        let now = Instant::now();
        Self {
            overload: is_bounded.then(|| Overload::new(now)),
            now,
            ready: VecDeque::new(),
            later: vec![(now, Step::Measure)],
            report: Report::default(),
        }
    }

    /// Plays so many requests a second for so long, after some seconds to settle.
    fn play(mut self, per_s: f64, seconds: u64) -> Report {
        let began = self.now;
        let settled = began + Duration::from_secs(5);
        let end = settled + Duration::from_secs(seconds);
        let mut next = began;
        let mut counts = false;
        while self.now < end {
            if !counts && self.now >= settled {
                self.report = Report::default();
                counts = true;
            }
            while next <= self.now {
                self.ready.push_back((next, Step::Arrives(next)));
                next += Duration::from_secs_f64(1.0 / per_s);
            }
            self.wake();
            match self.ready.pop_front() {
                Some((at, step)) => self.run(at, step),
                None => {
                    let due = self.later.iter().map(|(at, _)| *at).min();
                    self.now = due.unwrap_or(next).min(next);
                }
            }
        }
        self.report
    }

    fn wake(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.later.drain(..).partition(|(at, _)| *at <= now);
        self.later = later;
        self.ready.extend(due);
    }

    fn run(&mut self, ready_at: Instant, step: Step) {
        match step {
            Step::Measure => {
                let wait = self.now.duration_since(ready_at);
                if let Some(o) = &mut self.overload {
                    o.note_wait(self.now, wait);
                }
                self.later.push((self.now + MEASURE_EVERY, Step::Measure));
            }
            Step::Arrives(at) => {
                let admitted = match &mut self.overload {
                    Some(o) => o.admit(self.now, 1),
                    None => Ok(()),
                };
                if admitted.is_err() {
                    self.now += REFUSAL;
                    self.report.refused += 1;
                    let took = self.now.duration_since(at);
                    self.report.slowest_refusal = self.report.slowest_refusal.max(took);
                    return;
                }
                self.now += FIRST;
                if self.now.duration_since(at) <= OBJECTIVE {
                    self.report.in_time += 1;
                }
                self.later
                    .push((self.now + PART_EVERY, Step::Part(self.now, 1)));
            }
            Step::Part(last, n) => {
                self.now += PART;
                let pause = self.now.duration_since(last);
                self.report.longest_pause = self.report.longest_pause.max(pause);
                if n < PARTS {
                    self.later
                        .push((self.now + PART_EVERY, Step::Part(self.now, n + 1)));
                }
            }
        }
    }
}

/// Guards against a VM that takes in all that comes while the others are dark, and serves nobody in time.
#[test]
fn goodput_many_times_the_load() {
    let bears = Machine::new(true).play(BEARS, 20).in_time;
    assert!(bears > 1200, "{bears} in time of {BEARS} a second");
    for times in [3.0, 10.0, 30.0] {
        let unbounded = Machine::new(false).play(BEARS * times, 20);
        assert_eq!(unbounded.in_time, 0, "{unbounded:?}");
        let bounded = Machine::new(true).play(BEARS * times, 20);
        let served = f64::from(bounded.in_time);
        // What refusals cost isn't there for requests.
        let left = 1.0 - BEARS * times * REFUSAL.as_secs_f64();
        let share = served / (f64::from(bears) * left);
        assert!(
            share >= 0.9,
            "{share:.2} at {times} times the load: {bounded:?}"
        );
        assert!(
            bounded.slowest_refusal < Duration::from_millis(250),
            "{bounded:?}"
        );
    }
}

#[test]
fn admit_all_where_nothing_is_short() {
    let report = Machine::new(true).play(BEARS * 0.6, 20);
    assert_eq!(report.refused, 0, "{report:?}");
}

#[test]
fn admit_urgent_ranks_last_of_all_refused() {
    let now = Instant::now();
    let is_let_in = |wait_ms, rank| {
        let mut o = Overload::new(now);
        for _ in 0..2 {
            o.note_wait(now, Duration::from_millis(wait_ms));
        }
        o.admit(now, rank).is_ok()
    };
    let admitted = |wait_ms| (0..4).filter(|rank| is_let_in(wait_ms, *rank)).count();
    assert_eq!([5, 25, 35, 45, 55].map(admitted), [4, 3, 2, 1, 0]);
}

#[test]
fn admit_refused_come_back_later_the_more_ask() {
    let mut now = Instant::now();
    let mut o = Overload::new(now);
    let mut after = Vec::new();
    for refused in [1, 3, 30] {
        // A second in which one is let in and so many are refused.
        now += Duration::from_secs(1);
        for wait in [1, 1] {
            o.note_wait(now, Duration::from_millis(wait));
        }
        assert_eq!(o.admit(now, 0), Ok(()));
        for wait in [200, 200] {
            o.note_wait(now, Duration::from_millis(wait));
        }
        for _ in 0..refused {
            assert!(o.admit(now, 0).is_err());
        }
        let next = now + Duration::from_secs(1);
        after.push(o.admit(next, 0).expect_err("there is too much to do"));
    }
    assert!(after.is_sorted() && after[0] < after[2], "{after:?}");
    assert!(after[0] >= Duration::from_secs(1) && after[2] <= Duration::from_secs(5));
}

#[test]
fn note_wait_begins_once_and_ends_once_it_is_calm() {
    let mut now = Instant::now();
    let mut o = Overload::new(now);
    let mut changes = Vec::new();
    for i in 0..200 {
        now += Duration::from_millis(50);
        let wait = if i < 8 { 60 } else { 1 };
        changes.extend(o.note_wait(now, Duration::from_millis(wait)));
        let _is_let_in = o.admit(now, 3);
    }
    let ends = OverloadChange::Ends(7);
    assert_eq!(changes, [OverloadChange::Begins, ends]);
}

/// A machine that stood still, or has its processor by quota, waits long now and then, not all the time.
#[test]
fn note_wait_long_now_and_then_refuses_nobody() {
    let mut now = Instant::now();
    let mut o = Overload::new(now);
    for i in 0..400 {
        now += Duration::from_millis(50);
        let wait = if i % 2 == 0 { 90 } else { 2 };
        assert_eq!(o.note_wait(now, Duration::from_millis(wait)), None);
        assert_eq!(o.admit(now, 3), Ok(()));
    }
}
