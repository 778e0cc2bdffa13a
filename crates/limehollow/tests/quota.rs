//! Limits of workspaces over many VMs: the sum holds whatever happens to VMs and messages, and callers get what they may.

use limehollow::quota::{
    Allowance, COLLECT_EVERY, Grant, Limit, MAX_TRANSFER_TIME, Quotas, Subject,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smol_str::{SmolStr, format_smolstr};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const WORKSPACE: &str = "bookkeeping";
const STEP: Duration = Duration::from_millis(10);
/// What a request with a prompt of usual length counts.
const REQUEST: f64 = 1632.0;

fn allowance() -> Allowance {
    Allowance {
        window: Duration::from_secs(8),
        over: 0.1,
        slack: 11_000.0,
    }
}

fn limit(rate: f64) -> Limit {
    Limit { rate, burst: rate }
}

/// Whose limit VMs share.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Whose {
    /// A workspace's, in tokens.
    Workspace(Limit),
    /// That of an endpoint which takes so many requests a second.
    Endpoint(f64),
    /// That of an endpoint which is cold and bears so many.
    Cold(f64),
}

impl Whose {
    fn subject(self) -> Subject {
        match self {
            Self::Workspace(_) => WORKSPACE.into(),
            Self::Endpoint(_) | Self::Cold(_) => Subject::Endpoint("i-0".into()),
        }
    }

    /// What a request counts.
    fn request(self) -> f64 {
        match self {
            Self::Workspace(_) => REQUEST,
            Self::Endpoint(_) | Self::Cold(_) => 1.0,
        }
    }

    /// The span over which use is summed, and the most within it.
    fn bound(self) -> (Duration, f64) {
        match self {
            Self::Workspace(limit) => (allowance().window, allowance().bound(limit)),
            // An endpoint bears one and a half times what it takes, and five requests, in four seconds.
            Self::Endpoint(rate) => (Duration::from_secs(4), rate * 4.0 * 1.5 + 5.0),
            // A cold one falls over at that within a second.
            Self::Cold(rate) => (Duration::from_secs(1), rate * 1.5 + 5.0),
        }
    }

    fn put_in_force(self, now: Instant, q: &mut Quotas) {
        match self {
            Self::Workspace(limit) => q.set_limits(now, [(WORKSPACE.into(), limit)]),
            Self::Endpoint(rate) => q.limit_endpoint(now, &"i-0".into(), rate),
            Self::Cold(rate) => q.limit_cold_endpoint(now, &"i-0".into(), rate),
        }
    }
}

/// How VMs share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shares {
    /// Each VM uses what it earns itself.
    Apart,
    /// One VM collects, and grants.
    Pooled,
}

/// Tokens on their way: when they arrive, and for which VM's pool; spent by a request where there is none.
#[derive(Clone, Copy, Debug)]
struct OnTheWay {
    due: Instant,
    to: Option<usize>,
    tokens: f64,
}

/// VMs that share one limit, step by step.
struct Site {
    now: Instant,
    vms: Vec<Quotas>,
    /// Until when a VM stands still.
    still: Vec<Instant>,
    /// The VM that each takes for the keeper.
    keepers: Vec<usize>,
    on_the_way: Vec<OnTheWay>,
    used: VecDeque<(Instant, f64)>,
    whose: Whose,
    lost: f64,
    rng: StdRng,
}

impl Site {
    fn new(seed: u64, vms: usize, limit: Limit) -> Self {
        Self::sharing(seed, vms, Whose::Workspace(limit))
    }

    fn sharing(seed: u64, vms: usize, whose: Whose) -> Self {
        let now = Instant::now();
        let mut site = Self {
            now,
            vms: Vec::new(),
            still: vec![now; vms],
            keepers: vec![0; vms],
            on_the_way: Vec::new(),
            used: VecDeque::new(),
            whose,
            lost: 0.0,
            rng: StdRng::seed_from_u64(seed),
        };
        for _ in 0..vms {
            let q = site.fresh(vms);
            site.vms.push(q);
        }
        site
    }

    /// Makes the accounts of a VM that has just started.
    fn fresh(&self, vms: usize) -> Quotas {
        let mut q = Quotas::new(allowance());
        self.whose.put_in_force(self.now, &mut q);
        q.set_vms(self.now, vms);
        q
    }

    fn runs(&self, vm: usize) -> bool {
        self.now >= self.still[vm]
    }

    /// Begins a round of collections on all VMs; each hands over to whom it takes for the keeper.
    fn collect(&mut self) {
        for vm in 0..self.vms.len() {
            if self.runs(vm) {
                self.vms[vm].begin_round(self.now);
            }
        }
        for vm in 0..self.vms.len() {
            let keeper = self.keepers[vm];
            if !self.runs(vm) || !self.runs(keeper) {
                continue;
            }
            let name = format_smolstr!("vm-{keeper}");
            let Some(tokens) = self.vms[vm].transfer(self.now, self.whose.subject(), &name) else {
                continue;
            };
            if vm == keeper {
                self.vms[vm].credit(self.now, self.whose.subject(), tokens);
            } else if !self.rng.random_bool(self.lost) {
                self.send(Some(keeper), tokens);
            }
        }
    }

    fn send(&mut self, to: Option<usize>, tokens: f64) {
        let way = self.rng.random_range(Duration::ZERO..MAX_TRANSFER_TIME);
        let due = self.now + way;
        self.on_the_way.push(OnTheWay { due, to, tokens });
    }

    /// Asks for a request's tokens on a VM. Gives whether it got them.
    fn ask(&mut self, vm: usize, shares: Shares) -> bool {
        if !self.runs(vm) {
            return false;
        }
        if self.vms[vm].acquire(self.now, self.whose.subject(), self.whose.request()) {
            self.send(None, self.whose.request());
            return true;
        }
        let keeper = self.keepers[vm];
        if shares == Shares::Apart || !self.runs(keeper) {
            return false;
        }
        let granted = self.vms[keeper].grant(self.now, self.whose.subject(), self.whose.request())
            == Grant::Granted;
        if granted {
            self.send(None, self.whose.request());
        }
        granted
    }

    /// Goes on by a step, and checks what was used within the window.
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = self.on_the_way.iter().partition(|w| w.due <= now);
        self.on_the_way = later;
        let due: Vec<OnTheWay> = due;
        for w in due {
            match w.to {
                None => self.used.push_back((now, w.tokens)),
                Some(vm) if self.runs(vm) => {
                    self.vms[vm].credit(now, self.whose.subject(), w.tokens);
                }
                // Who stood still throws away what comes too late.
                Some(_) => {}
            }
        }
        let (window, bound) = self.whose.bound();
        while self.used.front().is_some_and(|(t, _)| now - *t > window) {
            self.used.pop_front();
        }
        let used: f64 = self.used.iter().map(|(_, n)| n).sum();
        assert!(
            used <= bound,
            "{used} of {bound} tokens used within the window"
        );
    }

    /// Something befalls a VM, or the opinion on who keeps the pool.
    fn trouble(&mut self) {
        let n = self.vms.len();
        let vm = self.rng.random_range(0..n);
        match self.rng.random_range(0..4) {
            0 => self.vms[vm] = self.fresh(n),
            1 => self.still[vm] = self.now + Duration::from_millis(self.rng.random_range(0..5000)),
            2 => {
                let keeper = self.rng.random_range(0..n);
                self.keepers.fill(keeper);
            }
            _ => {
                for keeper in &mut self.keepers {
                    *keeper = self.rng.random_range(0..n.min(3));
                }
            }
        }
    }
}

/// Callers ask for all they can get after a while of silence, again and again, while VMs die, stand still and disagree.
fn greedy_callers(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 1);
    let vms = [1, 2, 8, 69][rng.random_range(0..4)];
    let rate = [500.0, 2_700.0, 40_000.0, 210_000.0][rng.random_range(0..4)];
    let site = Site::new(seed, vms, limit(rate));
    ask_greedily(site, rng);
}

/// The same of an endpoint, before few VMs and many.
fn greedy_callers_of_an_endpoint(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 2);
    let vms = [1, 8, 69, 300][rng.random_range(0..4)];
    let rate = [0.1, 1.1, 3.3, 30.0][rng.random_range(0..4)];
    let site = Site::sharing(seed, vms, Whose::Endpoint(rate));
    ask_greedily(site, rng);
}

/// The same of an endpoint that is cold.
fn greedy_callers_of_a_cold_endpoint(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 3);
    let vms = [1, 8, 73, 300][rng.random_range(0..4)];
    let rate = [1.0, 6.0, 19.0, 80.0][rng.random_range(0..4)];
    let site = Site::sharing(seed, vms, Whose::Cold(rate));
    ask_greedily(site, rng);
}

fn ask_greedily(mut site: Site, mut rng: StdRng) {
    let vms = site.vms.len();
    site.lost = [0.0, 0.03, 0.5][rng.random_range(0..3)];
    let trouble = rng.random_range(0.0..0.05);
    let steps = |d: Duration| d.as_millis() / STEP.as_millis();
    for i in 0..2500 {
        if i % steps(COLLECT_EVERY) == 0 {
            site.collect();
        }
        if rng.random_bool(trouble) {
            site.trouble();
        }
        let silent = i / 300 % 3 == 0;
        for _ in 0..if silent { 0 } else { vms * 2 } {
            let vm = rng.random_range(0..vms);
            while site.ask(vm, Shares::Pooled) {}
        }
        site.step();
    }
}

#[test]
fn sum_within_the_bound_whatever_befalls_vms() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(60)
        .for_each(|seed| greedy_callers(*seed));
}

#[test]
fn sum_of_an_endpoint_within_the_bound_whatever_befalls_vms() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(60)
        .for_each(|seed| greedy_callers_of_an_endpoint(*seed));
}

#[test]
fn sum_of_a_cold_endpoint_within_a_second_whatever_befalls_vms() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(60)
        .for_each(|seed| greedy_callers_of_a_cold_endpoint(*seed));
}

#[test]
fn terms_leave_room_for_what_is_on_its_way() {
    bolero::check!()
        .with_type::<(u32, u32, u8, u32, u8)>()
        .for_each(|(rate, burst, over, slack, window)| {
            let a = Allowance {
                window: Duration::from_secs(u64::from(*window) + 1),
                over: f64::from(*over) / 255.0,
                slack: f64::from(*slack),
            };
            let l = Limit {
                rate: f64::from(*rate),
                burst: f64::from(*burst),
            };
            let t = a.terms(l);
            let earned = t.rate * (a.window + MAX_TRANSFER_TIME * 2).as_secs_f64() * 1.02;
            assert!(t.rate >= 0.0 && t.own >= 0.0 && t.pool >= -1e-6, "{t:?}");
            assert!(
                t.own + t.pool + earned <= a.bound(l) * (1.0 + 1e-9),
                "{t:?}"
            );
        });
}

/// Gives the part of what a limit allows that callers get who ask for `asked` times the limit, of all VMs or of one.
fn served(shares: Shares, rate: f64, asked: f64, on_one_vm: bool, vms: usize) -> f64 {
    let mut site = Site::new(1, vms, limit(rate));
    let (mut wanted, mut got, mut owed) = (0.0, 0.0, 0.0);
    for i in 0..3000 {
        if shares == Shares::Pooled && i % 25 == 0 {
            site.collect();
        }
        // Callers come once accounts have filled.
        if i > 500 {
            wanted += rate * asked * STEP.as_secs_f64();
            owed += rate * asked.min(1.0) * STEP.as_secs_f64();
        }
        while wanted >= REQUEST {
            wanted -= REQUEST;
            let vm = if on_one_vm {
                3
            } else {
                site.rng.random_range(0..vms)
            };
            if site.ask(vm, shares) {
                got += REQUEST;
            }
        }
        site.step();
    }
    got / owed
}

#[test]
fn pooled_serves_workspaces_whose_part_is_less_than_a_request() {
    // Two requests a second over 69 VMs: apart, no VM ever has enough for one.
    assert!(served(Shares::Apart, 3_400.0, 0.55, false, 69) < 0.01);
    assert!(served(Shares::Pooled, 3_400.0, 0.55, false, 69) > 0.95);
}

#[test]
fn pooled_serves_callers_that_all_come_to_one_vm() {
    assert!(served(Shares::Apart, 210_000.0, 0.55, true, 69) < 0.1);
    assert!(served(Shares::Pooled, 210_000.0, 0.55, true, 69) > 0.95);
}

#[test]
fn pooled_serves_the_limit_to_callers_who_ask_for_much_more() {
    for rate in [3_400.0, 40_000.0, 210_000.0] {
        let part = served(Shares::Pooled, rate, 4.0, false, 69);
        assert!(
            (0.9..1.1).contains(&part),
            "{part} of {rate} tokens a second"
        );
    }
}

#[test]
fn restart_begins_with_nothing() {
    let mut site = Site::new(1, 1, limit(40_000.0));
    site.now += Duration::from_secs(5);
    assert!(site.ask(0, Shares::Apart));
    site.vms[0] = site.fresh(1);
    assert!(!site.ask(0, Shares::Apart));
}

#[test]
fn lowered_limit_takes_away_what_is_too_much() {
    let mut site = Site::new(1, 1, limit(210_000.0));
    site.now += Duration::from_secs(5);
    let now = site.now;
    let lower = limit(1_000.0);
    site.vms[0].set_limits(now, [(WORKSPACE.into(), lower)]);
    let held: f64 = site.vms[0]
        .holdings()
        .map(|(_, own, pool)| own + pool)
        .sum();
    assert!(held <= allowance().terms(lower).own, "{held}");
}

#[test]
fn grant_tells_refused_callers_different_times() {
    let mut site = Site::new(1, 1, limit(10_000.0));
    let now = site.now;
    let mut waits = Vec::new();
    for _ in 0..20 {
        if let Grant::Short(wait) = site.vms[0].grant(now, WORKSPACE, REQUEST) {
            waits.push(wait);
        }
    }
    // Six requests a second fit: the twentieth has room after three.
    assert!(waits.is_sorted(), "{waits:?}");
    let last = waits.last().expect("some are refused");
    assert!(*last > Duration::from_millis(2900), "{last:?}");
}

#[test]
fn hand_over_serves_one_keeper_at_a_time() {
    let mut site = Site::new(1, 2, limit(10_000.0));
    let (one, other) = (SmolStr::new("vm-0"), SmolStr::new("vm-1"));
    let q = &mut site.vms[1];
    let at = |ms| site.now + Duration::from_millis(ms);
    assert!(q.transfer(at(500), WORKSPACE, &one).is_some());
    assert!(q.transfer(at(1400), WORKSPACE, &other).is_none());
    assert!(q.transfer(at(1500), WORKSPACE, &other).is_some());
}

#[test]
fn unknown_number_of_vms_earns_nothing() {
    let now = Instant::now();
    let mut q = Quotas::new(allowance());
    q.set_limits(now, [(WORKSPACE.into(), limit(210_000.0))]);
    assert!(!q.acquire(now + Duration::from_secs(10), WORKSPACE, 1.0));
    assert!(q.acquire(now, "another workspace, without a limit", 1e9));
}

impl Site {
    /// Goes on for some time without callers.
    fn rest(&mut self, time: Duration) {
        for i in 0..time.as_millis() / STEP.as_millis() {
            if i % 25 == 0 {
                self.collect();
            }
            self.step();
        }
    }

    /// Gives what all VMs together could use at this moment.
    fn held(&mut self) -> f64 {
        let mut sum = 0.0;
        for q in &mut self.vms {
            while q.acquire(self.now, WORKSPACE, REQUEST) {
                sum += REQUEST;
            }
        }
        sum
    }
}

/// The most that all accounts together hold by the terms of a limit.
fn stored(rate: f64) -> f64 {
    let t = allowance().terms(limit(rate));
    t.own + t.pool
}

#[test]
fn pools_of_former_keepers_are_void() {
    let mut site = Site::new(1, 8, limit(210_000.0));
    for keeper in 0..5 {
        site.keepers.fill(keeper);
        site.rest(Duration::from_millis(2500));
        // It stands still with what it has collected, and another takes over.
        site.still[keeper] = site.now + Duration::from_secs(60);
    }
    let held = site.held();
    assert!(held <= stored(210_000.0), "{held}");
}

#[test]
fn pools_of_two_halves_hold_no_more_than_one() {
    let mut site = Site::new(1, 8, limit(210_000.0));
    site.keepers = vec![0, 0, 0, 0, 1, 1, 1, 1];
    site.rest(Duration::from_secs(10));
    let held = site.held();
    assert!(held <= stored(210_000.0), "{held}");
}
