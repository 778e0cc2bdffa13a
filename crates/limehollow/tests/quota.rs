//! Tests of distributed limits: the sum over all VMs holds despite failures of VMs and messages, and callers are served
//! up to the limit.

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
/// The cost of a request with a prompt of usual length.
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

/// The limit that the VMs share.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SharedLimit {
    /// The limit of a workspace, in tokens.
    Workspace(Limit),
    /// The limit of an endpoint, in requests a second.
    Endpoint(f64),
    /// The limit of a cold endpoint, in requests a second.
    Cold(f64),
}

impl SharedLimit {
    fn subject(self) -> Subject {
        match self {
            Self::Workspace(_) => WORKSPACE.into(),
            Self::Endpoint(_) | Self::Cold(_) => Subject::Endpoint("i-0".into()),
        }
    }

    /// Returns the cost of a request.
    fn request(self) -> f64 {
        match self {
            Self::Workspace(_) => REQUEST,
            Self::Endpoint(_) | Self::Cold(_) => 1.0,
        }
    }

    /// Returns the window over which use is summed, and the maximum use within it.
    fn bound(self) -> (Duration, f64) {
        match self {
            Self::Workspace(limit) => (allowance().window, allowance().bound(limit)),
            // An endpoint tolerates one and a half times its limit, and five requests, in four seconds.
            Self::Endpoint(rate) => (Duration::from_secs(4), rate * 4.0 * 1.5 + 5.0),
            // A cold endpoint tolerates that within one second.
            Self::Cold(rate) => (Duration::from_secs(1), rate * 1.5 + 5.0),
        }
    }

    fn set_limit(self, now: Instant, q: &mut Quotas) {
        match self {
            Self::Workspace(limit) => q.set_limits(now, [(WORKSPACE.into(), limit)]),
            Self::Endpoint(rate) => q.limit_endpoint(now, &"i-0".into(), rate),
            Self::Cold(rate) => q.limit_cold_endpoint(now, &"i-0".into(), rate),
        }
    }
}

/// The way in which VMs share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shares {
    /// Each VM uses only its own earnings.
    Apart,
    /// The coordinator collects tokens and grants them.
    Pooled,
}

/// Tokens in transit: when they arrive, and for which VM's pool; `None` stands for tokens that a request uses.
#[derive(Clone, Copy, Debug)]
struct InTransit {
    due: Instant,
    to: Option<usize>,
    tokens: f64,
}

/// A simulation of VMs that share one limit.
struct Site {
    now: Instant,
    vms: Vec<Quotas>,
    /// The time until which each VM is suspended.
    suspended_until: Vec<Instant>,
    /// The VM that each considers the coordinator.
    coordinators: Vec<usize>,
    in_transit: Vec<InTransit>,
    used: VecDeque<(Instant, f64)>,
    shared: SharedLimit,
    lost: f64,
    rng: StdRng,
}

impl Site {
    fn new(seed: u64, vms: usize, limit: Limit) -> Self {
        Self::sharing(seed, vms, SharedLimit::Workspace(limit))
    }

    fn sharing(seed: u64, vms: usize, shared: SharedLimit) -> Self {
        let now = Instant::now();
        let mut site = Self {
            now,
            vms: Vec::new(),
            suspended_until: vec![now; vms],
            coordinators: vec![0; vms],
            in_transit: Vec::new(),
            used: VecDeque::new(),
            shared,
            lost: 0.0,
            rng: StdRng::seed_from_u64(seed),
        };
        for _ in 0..vms {
            let q = site.new_accounts(vms);
            site.vms.push(q);
        }
        site
    }

    /// Creates the accounts of a VM that has just started.
    fn new_accounts(&self, vms: usize) -> Quotas {
        let mut q = Quotas::new(allowance());
        self.shared.set_limit(self.now, &mut q);
        q.set_vms(self.now, vms);
        q
    }

    fn runs(&self, vm: usize) -> bool {
        self.now >= self.suspended_until[vm]
    }

    /// Begins a round of collections on all VMs; each transfers to the VM that it considers the coordinator.
    fn collect(&mut self) {
        for vm in 0..self.vms.len() {
            if self.runs(vm) {
                self.vms[vm].begin_round(self.now);
            }
        }
        for vm in 0..self.vms.len() {
            let coordinator = self.coordinators[vm];
            if !self.runs(vm) || !self.runs(coordinator) {
                continue;
            }
            let name = format_smolstr!("vm-{coordinator}");
            let Some(tokens) = self.vms[vm].transfer(self.now, self.shared.subject(), &name) else {
                continue;
            };
            if vm == coordinator {
                self.vms[vm].credit(self.now, self.shared.subject(), tokens);
            } else if !self.rng.random_bool(self.lost) {
                self.send(Some(coordinator), tokens);
            }
        }
    }

    fn send(&mut self, to: Option<usize>, tokens: f64) {
        let delay = self.rng.random_range(Duration::ZERO..MAX_TRANSFER_TIME);
        let due = self.now + delay;
        self.in_transit.push(InTransit { due, to, tokens });
    }

    /// Acquires a request's tokens on a VM. Returns `true` if it got them.
    fn acquire(&mut self, vm: usize, shares: Shares) -> bool {
        if !self.runs(vm) {
            return false;
        }
        if self.vms[vm].acquire(self.now, self.shared.subject(), self.shared.request()) {
            self.send(None, self.shared.request());
            return true;
        }
        let coordinator = self.coordinators[vm];
        if shares == Shares::Apart || !self.runs(coordinator) {
            return false;
        }
        let granted =
            self.vms[coordinator].grant(self.now, self.shared.subject(), self.shared.request())
                == Grant::Granted;
        if granted {
            self.send(None, self.shared.request());
        }
        granted
    }

    /// Advances by one step, and checks the use within the window.
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = self.in_transit.iter().partition(|w| w.due <= now);
        self.in_transit = later;
        let due: Vec<InTransit> = due;
        for w in due {
            match w.to {
                None => self.used.push_back((now, w.tokens)),
                Some(vm) if self.runs(vm) => {
                    self.vms[vm].credit(now, self.shared.subject(), w.tokens);
                }
                // A suspended VM discards tokens that arrive too late.
                Some(_) => {}
            }
        }
        let (window, bound) = self.shared.bound();
        while self.used.front().is_some_and(|(t, _)| now - *t > window) {
            self.used.pop_front();
        }
        let used: f64 = self.used.iter().map(|(_, n)| n).sum();
        assert!(
            used <= bound,
            "{used} of {bound} tokens used within the window"
        );
    }

    /// Restarts or suspends a VM, or changes the coordinator, for all VMs or differently for each.
    fn inject_failure(&mut self) {
        let n = self.vms.len();
        let vm = self.rng.random_range(0..n);
        match self.rng.random_range(0..4) {
            0 => self.vms[vm] = self.new_accounts(n),
            1 => {
                self.suspended_until[vm] =
                    self.now + Duration::from_millis(self.rng.random_range(0..5000));
            }
            2 => {
                let coordinator = self.rng.random_range(0..n);
                self.coordinators.fill(coordinator);
            }
            _ => {
                for coordinator in &mut self.coordinators {
                    *coordinator = self.rng.random_range(0..n.min(3));
                }
            }
        }
    }
}

/// Simulates callers that repeatedly use all available tokens after idle periods, while VMs restart, are suspended and
/// disagree on the coordinator.
fn greedy_callers(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 1);
    let vms = [1, 2, 8, 69][rng.random_range(0..4)];
    let rate = [500.0, 2_700.0, 40_000.0, 210_000.0][rng.random_range(0..4)];
    let site = Site::new(seed, vms, limit(rate));
    ask_greedily(site, rng);
}

/// The same for the limit of an endpoint, with few and with many VMs.
fn greedy_callers_of_an_endpoint(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 2);
    let vms = [1, 8, 69, 300][rng.random_range(0..4)];
    let rate = [0.1, 1.1, 3.3, 30.0][rng.random_range(0..4)];
    let site = Site::sharing(seed, vms, SharedLimit::Endpoint(rate));
    ask_greedily(site, rng);
}

/// The same for the limit of a cold endpoint.
fn greedy_callers_of_a_cold_endpoint(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 3);
    let vms = [1, 8, 73, 300][rng.random_range(0..4)];
    let rate = [1.0, 6.0, 19.0, 80.0][rng.random_range(0..4)];
    let site = Site::sharing(seed, vms, SharedLimit::Cold(rate));
    ask_greedily(site, rng);
}

fn ask_greedily(mut site: Site, mut rng: StdRng) {
    let vms = site.vms.len();
    site.lost = [0.0, 0.03, 0.5][rng.random_range(0..3)];
    let inject_failure = rng.random_range(0.0..0.05);
    let steps = |d: Duration| d.as_millis() / STEP.as_millis();
    for i in 0..2500 {
        if i % steps(COLLECT_EVERY) == 0 {
            site.collect();
        }
        if rng.random_bool(inject_failure) {
            site.inject_failure();
        }
        let silent = i / 300 % 3 == 0;
        for _ in 0..if silent { 0 } else { vms * 2 } {
            let vm = rng.random_range(0..vms);
            while site.acquire(vm, Shares::Pooled) {}
        }
        site.step();
    }
}

#[test]
fn sum_stays_within_the_bound_despite_failures() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(60)
        .for_each(|seed| greedy_callers(*seed));
}

#[test]
fn sum_of_an_endpoint_stays_within_the_bound_despite_failures() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(60)
        .for_each(|seed| greedy_callers_of_an_endpoint(*seed));
}

#[test]
fn sum_of_a_cold_endpoint_stays_within_a_second_despite_failures() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(60)
        .for_each(|seed| greedy_callers_of_a_cold_endpoint(*seed));
}

#[test]
fn terms_leave_room_for_tokens_in_transit() {
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

/// Returns the fraction of the permitted use that callers get who ask for `asked` times the limit, on all VMs or on
/// one.
fn served(shares: Shares, rate: f64, asked: f64, on_one_vm: bool, vms: usize) -> f64 {
    let mut site = Site::new(1, vms, limit(rate));
    let (mut wanted, mut got, mut owed) = (0.0, 0.0, 0.0);
    for i in 0..3000 {
        if shares == Shares::Pooled && i % 25 == 0 {
            site.collect();
        }
        // Callers begin once accounts have filled.
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
            if site.acquire(vm, shares) {
                got += REQUEST;
            }
        }
        site.step();
    }
    got / owed
}

#[test]
fn pooled_serves_workspaces_whose_share_is_less_than_a_request() {
    // Two requests a second over 69 VMs: without a pool, no VM ever has enough for one request.
    assert!(served(Shares::Apart, 3_400.0, 0.55, false, 69) < 0.01);
    assert!(served(Shares::Pooled, 3_400.0, 0.55, false, 69) > 0.95);
}

#[test]
fn pooled_serves_callers_that_all_use_one_vm() {
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
fn restart_begins_with_empty_accounts() {
    let mut site = Site::new(1, 1, limit(40_000.0));
    site.now += Duration::from_secs(5);
    assert!(site.acquire(0, Shares::Apart));
    site.vms[0] = site.new_accounts(1);
    assert!(!site.acquire(0, Shares::Apart));
}

#[test]
fn lowered_limit_removes_excess_tokens() {
    let mut site = Site::new(1, 1, limit(210_000.0));
    site.now += Duration::from_secs(5);
    let now = site.now;
    let lower = limit(1_000.0);
    site.vms[0].set_limits(now, [(WORKSPACE.into(), lower)]);
    let available: f64 = site.vms[0]
        .holdings()
        .map(|(_, own, pool)| own + pool)
        .sum();
    assert!(available <= allowance().terms(lower).own, "{available}");
}

#[test]
fn grant_gives_rejected_callers_different_waits() {
    let mut site = Site::new(1, 1, limit(10_000.0));
    let now = site.now;
    let mut waits = Vec::new();
    for _ in 0..20 {
        if let Grant::Short(wait) = site.vms[0].grant(now, WORKSPACE, REQUEST) {
            waits.push(wait);
        }
    }
    // Six requests a second fit: the twentieth fits after three seconds.
    assert!(waits.is_sorted(), "{waits:?}");
    let last = waits.last().expect("some are rejected");
    assert!(*last > Duration::from_millis(2900), "{last:?}");
}

#[test]
fn transfer_serves_one_coordinator_at_a_time() {
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
    /// Advances by `time` without callers.
    fn idle(&mut self, time: Duration) {
        for i in 0..time.as_millis() / STEP.as_millis() {
            if i % 25 == 0 {
                self.collect();
            }
            self.step();
        }
    }

    /// Returns the tokens that all VMs together could use at this time.
    fn available(&mut self) -> f64 {
        let mut sum = 0.0;
        for q in &mut self.vms {
            while q.acquire(self.now, WORKSPACE, REQUEST) {
                sum += REQUEST;
            }
        }
        sum
    }
}

/// Returns the maximum that all accounts together hold by the terms of a limit.
fn stored(rate: f64) -> f64 {
    let t = allowance().terms(limit(rate));
    t.own + t.pool
}

#[test]
fn pools_of_former_coordinators_are_void() {
    let mut site = Site::new(1, 8, limit(210_000.0));
    for coordinator in 0..5 {
        site.coordinators.fill(coordinator);
        site.idle(Duration::from_millis(2500));
        // The coordinator is suspended with the tokens that it collected, and another VM takes over.
        site.suspended_until[coordinator] = site.now + Duration::from_secs(60);
    }
    let available = site.available();
    assert!(available <= stored(210_000.0), "{available}");
}

#[test]
fn pools_of_two_coordinators_hold_no_more_than_one() {
    let mut site = Site::new(1, 8, limit(210_000.0));
    site.coordinators = vec![0, 0, 0, 0, 1, 1, 1, 1];
    site.idle(Duration::from_secs(10));
    let available = site.available();
    assert!(available <= stored(210_000.0), "{available}");
}
