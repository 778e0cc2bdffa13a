//! A VM that gets more connections than its processor bears: played load on one processor, without a network.

use limehollow::intake::{CLOSES_FROM, Intake, TAKES_ALL_UP_TO, TAKES_ONE_EACH};
use limehollow::own_delay::{OwnDelay, PROBE_INTERVAL};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// What the steps of a request cost a whole core.
const CLOSE: Duration = Duration::from_micros(30);
const FIRST: Duration = Duration::from_micros(600);
const PART: Duration = Duration::from_micros(60);
/// The parts of a stream, and the time between two of them.
const PARTS: u32 = 40;
const PART_EVERY: Duration = Duration::from_millis(45);
/// The time until the first result after which a request isn't in time, and the longest pause of a stream in time.
const OBJECTIVE: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(200);
/// The time from which most connections to one VM must make no difference.
const SETTLED: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Stream {
    arrived: Instant,
    last: Instant,
    part: u32,
    is_in_time: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Connection,
    Part(Stream),
    Probe,
}

/// The processor's share of a core, in one way or another.
#[derive(Clone, Copy, Debug)]
enum Share {
    /// A core that is slower all the time.
    Slow(f64),
    /// A whole core until the share of a tenth of a second is spent.
    Quota(f64),
}

impl Share {
    fn of_core(self) -> f64 {
        match self {
            Self::Slow(s) | Self::Quota(s) => s,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    came: u32,
    taken: u32,
    in_time: u32,
    late: u32,
    closed: u32,
    longest_without: Duration,
}

/// A VM whose processor does one step after the other, in the order in which they become ready.
struct Machine {
    share: Share,
    intake: Option<Intake>,
    delay: OwnDelay,
    start: Instant,
    now: Instant,
    spent: Duration,
    ready: VecDeque<(Instant, Step)>,
    later: BTreeMap<(Instant, u64), Step>,
    steps: u64,
    last_taken: Instant,
    /// When the probe had its last turn, and for how long there was work since.
    last_turn: Instant,
    busy: Duration,
    seen: Seen,
}

impl Machine {
    fn new(share: Share, is_bounded: bool) -> Self {
        let start = Instant::now();
        Self {
            share,
            intake: is_bounded.then(|| Intake::new(start)),
            delay: OwnDelay::default(),
            start,
            now: start,
            spent: Duration::ZERO,
            ready: VecDeque::new(),
            later: BTreeMap::new(),
            steps: 0,
            last_taken: start,
            last_turn: start,
            busy: Duration::ZERO,
            seen: Seen::default(),
        }
    }

    fn at(&mut self, at: Instant, s: Step) {
        self.steps += 1;
        self.later.insert((at, self.steps), s);
    }

    /// Uses the processor for what takes a whole core this long.
    fn work(&mut self, cost: Duration) {
        let before = self.now;
        self.spend(cost);
        self.busy += self.now - before;
    }

    fn spend(&mut self, cost: Duration) {
        match self.share {
            Share::Slow(s) => self.now += cost.div_f64(s),
            Share::Quota(s) => {
                const PERIOD: Duration = Duration::from_millis(100);
                let quota = PERIOD.mul_f64(s);
                let period = (self.now - self.start).as_nanos() / PERIOD.as_nanos();
                self.now += cost;
                self.spent += cost;
                let next = self.start + PERIOD * u32::try_from(period + 1).expect("a short play");
                if self.spent >= quota {
                    self.now = self.now.max(next);
                }
                if self.now >= next {
                    self.spent = Duration::ZERO;
                }
            }
        }
    }

    /// Plays connections at an even rate, and counts those that come after the VM has settled.
    fn play(mut self, per_s: f64, time: Duration) -> Seen {
        let end = self.start + SETTLED + time;
        let mut next = self.start;
        let first = self.now + PROBE_INTERVAL;
        self.delay.wait_until(first);
        self.at(first, Step::Probe);
        while self.now < end {
            while next <= self.now {
                self.ready.push_back((next, Step::Connection));
                next += Duration::from_secs_f64(1.0 / per_s);
            }
            while let Some(e) = self.later.first_entry().filter(|e| e.key().0 <= self.now) {
                let ((at, _), s) = e.remove_entry();
                self.ready.push_back((at, s));
            }
            match self.ready.pop_front() {
                Some((at, s)) => self.run(at, s),
                None => {
                    let due = self.later.keys().next().map_or(next, |(at, _)| *at);
                    self.now = due.min(next);
                }
            }
        }
        self.seen
    }

    fn run(&mut self, at: Instant, s: Step) {
        let settled = self.start + SETTLED;
        let counts = |t: Instant| t >= settled;
        match s {
            Step::Probe => {
                let time = (self.now - self.last_turn).as_secs_f64();
                let busy = self.busy.as_secs_f64() / time;
                self.delay.record_turn(self.now, busy);
                (self.last_turn, self.busy) = (self.now, Duration::ZERO);
                let due = self.now + PROBE_INTERVAL;
                self.delay.wait_until(due);
                self.at(due, Step::Probe);
            }
            Step::Connection => {
                let is_counted = counts(at);
                let (now, delay) = (self.now, self.delay);
                let takes = self.intake.as_mut().is_none_or(|i| i.accepts(now, &delay));
                if is_counted {
                    self.seen.came += 1;
                    let without = now - self.last_taken;
                    self.seen.longest_without = self.seen.longest_without.max(without);
                }
                if !takes {
                    self.seen.closed += u32::from(is_counted);
                    return self.work(CLOSE);
                }
                self.last_taken = now;
                self.work(FIRST);
                self.seen.taken += u32::from(is_counted);
                let stream = Stream {
                    arrived: at,
                    last: self.now,
                    part: 0,
                    is_in_time: self.now - at <= OBJECTIVE,
                };
                self.at(self.now + PART_EVERY, Step::Part(stream));
            }
            Step::Part(mut stream) => {
                self.work(PART);
                stream.is_in_time &= self.now - stream.last <= PAUSE;
                stream.last = self.now;
                stream.part += 1;
                if stream.part < PARTS {
                    self.at(self.now + PART_EVERY, Step::Part(stream));
                } else if counts(stream.arrived) {
                    self.seen.in_time += u32::from(stream.is_in_time);
                    self.seen.late += u32::from(!stream.is_in_time);
                }
            }
        }
    }
}

/// The connections a second that a share of a core bears.
fn bears(share: Share) -> f64 {
    share.of_core() / (FIRST + PART * PARTS).as_secs_f64()
}

const SHARES: [Share; 6] = [
    Share::Slow(0.06),
    Share::Slow(0.12),
    Share::Slow(0.5),
    Share::Slow(1.0),
    Share::Quota(0.12),
    Share::Quota(0.5),
];
const TIME: Duration = Duration::from_secs(12);

/// Guards against a VM that accepts all connections of its zone, and serves none of them in time.
#[test]
fn crowded_vm_serves_in_time_what_it_takes() {
    for share in SHARES {
        for times in [1.5, 3.0, 8.0, 25.0] {
            let seen = Machine::new(share, true).play(bears(share) * times, TIME);
            println!("{share:?}, {times} times: {seen:?}");
            let ended = f64::from(seen.in_time + seen.late);
            assert!(
                f64::from(seen.in_time) >= 0.9 * ended,
                "{share:?}, {times} times: {seen:?}"
            );
            // What it bears is used, but for what closing costs.
            let left =
                1.0 - (bears(share) * times * CLOSE.as_secs_f64() / share.of_core()).min(0.9);
            let served = f64::from(seen.taken) / TIME.as_secs_f64();
            assert!(
                served >= 0.6 * bears(share) * left,
                "{share:?}, {times} times: {served:.1} a second of {:.1}: {seen:?}",
                bears(share)
            );
            let most = TAKES_ONE_EACH + Duration::from_millis(150);
            assert!(
                seen.longest_without <= most,
                "{share:?}, {times} times: {seen:?}"
            );
        }
    }
}

#[test]
fn calm_vm_closes_no_connection() {
    for share in SHARES {
        let seen = Machine::new(share, true).play(bears(share) * 0.7, TIME);
        assert_eq!(seen.closed, 0, "{share:?}: {seen:?}");
        assert_eq!(seen.late, 0, "{share:?}: {seen:?}");
    }
}

/// The same load without a bound, so that the play shows the fault.
#[test]
fn unbounded_vm_is_late_with_all() {
    for share in [Share::Slow(0.12), Share::Quota(0.12)] {
        let seen = Machine::new(share, false).play(bears(share) * 3.0, TIME);
        assert!(seen.in_time < seen.taken / 10, "{share:?}: {seen:?}");
    }
}

/// Creates the delay of a VM whose last turns were all this late.
fn standing(now: Instant, late: Duration) -> OwnDelay {
    let mut d = OwnDelay::default();
    for _ in 0..4 {
        d.wait_until(now);
        d.record_turn(now + late, 1.0);
    }
    d
}

#[test]
fn accepts_fewer_the_later_its_tasks_are() {
    let taken = |late: Duration| {
        let mut now = Instant::now();
        let mut intake = Intake::new(now);
        let d = standing(now, late);
        let taken = (0..2000).filter(|_| {
            now += Duration::from_millis(5);
            intake.accepts(now, &d)
        });
        taken.count()
    };
    assert_eq!(taken(TAKES_ALL_UP_TO), 2000);
    let (a_third, half) = (
        taken(CLOSES_FROM.mul_f64(0.8)),
        taken(CLOSES_FROM.mul_f64(0.67)),
    );
    assert!(a_third < half && half < 1100, "{a_third} {half}");
    // Ten seconds, in each of which four are due.
    assert!((39..=41).contains(&taken(CLOSES_FROM * 2)));
}

#[test]
fn accepts_all_again_once_it_is_calm() {
    let start = Instant::now();
    let mut intake = Intake::new(start);
    let (late, calm) = (standing(start, CLOSES_FROM), OwnDelay::default());
    assert!(!intake.accepts(start, &late));
    assert!(intake.closes());
    let then = start + Duration::from_secs(2);
    let taken = (0..100).filter(|_| intake.accepts(then, &calm)).count();
    assert_eq!(taken, 100);
    assert!(!intake.closes());
}

/// Plays a zone at half of what its VMs bear, nine of ten connections to one of them. A caller whose connection is closed tries
/// one of the others. Returns the share of the requests that are served in time at the first try that is read.
fn crowded_zone(vms: u32, share: Share) -> f64 {
    let others = f64::from(vms - 1);
    let all = 0.5 * f64::from(vms) * bears(share);
    let one = Machine::new(share, true).play(all * 0.9, TIME);
    let per_s = |n: u32| f64::from(n) / TIME.as_secs_f64();
    let to_another = (all * 0.1 + per_s(one.closed)) / others;
    let another = Machine::new(share, true).play(to_another, TIME);
    println!("{vms} VMs, {share:?}: {one:?}, others {another:?}");
    let in_time = |s: Seen| f64::from(s.in_time) / f64::from((s.in_time + s.late).max(1));
    // Who is closed twice isn't counted as served.
    let read_elsewhere = f64::from(another.taken) / f64::from(another.came.max(1));
    let (here, there) = (per_s(one.taken), others * to_another);
    (here * in_time(one) + there * read_elsewhere * in_time(another)) / (here + there)
}

/// Guards against a zone that serves less than three quarters of what it did before while one of its VMs gets most connections.
#[test]
fn crowded_zone_serves_as_before() {
    for vms in [2, 6, 25, 100] {
        for share in SHARES {
            let served = crowded_zone(vms, share);
            assert!(served >= 0.75, "{vms} VMs, {share:?}: {served:.2}");
        }
    }
}
