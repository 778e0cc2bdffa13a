//! Distributed rate limits of workspaces and endpoints, whose sum over all VMs holds despite failures.
//!
//! The sum holds without a leader. Each VM earns an equal share of each limit into an account of its own, and a token
//! is always in one place: a VM that transfers tokens takes them out of its account before they leave, and tokens lost
//! in transit are lost. The coordinator of a limit collects the earnings of the other VMs into a pool, several times a
//! second, and grants tokens from it. A workspace whose share on each VM is less than a request is thus served up to
//! its limit, and so is a workspace whose callers all use one VM. A VM that is cut off has only its own earnings. If
//! two VMs consider themselves coordinator, each VM transfers to only one of them, and a pool holds no more than the
//! share of the VMs that fill it.
//!
//! The limits of workspaces come from the operators' configuration, those of endpoints from their answers.
//!
//! [`Allowance::terms`] states the worst case of the sum; `docs/design/workspaces.md` has the figures of other designs.
//!
//! ```
//! use limehollow::quota::{Allowance, Limit, Quotas};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let limit = Limit { rate: 1000.0, burst: 2000.0 };
//! let mut mine = Quotas::new(Allowance::default());
//! let mut theirs = Quotas::new(Allowance::default());
//! for vm in [&mut mine, &mut theirs] {
//!     vm.set_limits(now, [("bookkeeping".into(), limit)]);
//!     vm.set_vms(now, 2);
//! }
//! let later = now + Duration::from_secs(1);
//! assert!(!mine.acquire(later, "bookkeeping", 600.0));
//! // Another VM transfers its earnings.
//! mine.begin_round(later);
//! let more = theirs.transfer(later, "bookkeeping", &"vm-1".into()).unwrap();
//! mine.credit(later, "bookkeeping", more);
//! assert!(mine.acquire(later, "bookkeeping", 600.0));
//! ```

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum time that tokens may be in transit, from one account to another and until a request is sent. An answer
/// to a collection that takes longer is discarded, and tokens of a request that didn't run are refunded only within it.
pub const MAX_TRANSFER_TIME: Duration = Duration::from_millis(250);
/// The time between two collections. If one is lost, half a second of the VMs' earnings stays unused with them.
pub const COLLECT_EVERY: Duration = Duration::from_millis(250);
/// The time for which VMs accumulate earnings, in seconds: three collections, so that two may be lost. Without
/// collections, a VM earns one request's worth in that time for a workspace with two requests a second on each VM.
const OWN_EARNINGS_S: f64 = 0.75;
/// The fraction of the allowance beyond the limit that accounts may hold, beside the burst. The rest is for tokens in
/// transit and for VMs that disagree on the number of VMs.
const STORED_SHARE: f64 = 0.4;
/// The same for endpoints, whose limits have no burst: a pool has to hold the tokens of two collections and a part of a
/// request.
const ENDPOINT_STORED_SHARE: f64 = 0.6;
/// The fraction by which the shares of all VMs may exceed the whole, while only some of them know of a new VM.
const SHARE_EXCESS: f64 = 0.02;
/// The time for which a VM that has transferred tokens to one coordinator transfers none to another: longer than the
/// lifetime of a pool that is no longer filled.
const COORDINATOR_SWITCH_AFTER: Duration = Duration::from_millis(1000);
/// The time without a round of collections after which a pool is void: its coordinator stood still, and another VM has
/// taken over.
const POOL_LIFETIME: Duration = Duration::from_millis(750);
/// The longest wait that a rejected caller is asked for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// The shortest wait: a shorter one would pass in transit.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The subject of a limit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The workspace with this name; the limit is on the requests of its callers.
    Workspace(SmolStr),
    /// The endpoint with this id; the limit is on the requests of all VMs to it.
    Endpoint(SmolStr),
}

impl Subject {
    /// Returns the name by which VMs agree on the coordinator.
    #[must_use]
    pub fn name(&self) -> &SmolStr {
        match self {
            Self::Workspace(name) => name,
            Self::Endpoint(id) => id,
        }
    }

    /// Returns the terms of its limit, given the allowances of workspaces and endpoints.
    fn terms(&self, limit: Limit, workspaces: Allowance, endpoints: Allowance) -> Terms {
        match self {
            Self::Workspace(_) => workspaces.terms(limit),
            Self::Endpoint(_) => endpoints.terms_storing(limit, ENDPOINT_STORED_SHARE),
        }
    }
}

impl From<SmolStr> for Subject {
    fn from(workspace: SmolStr) -> Self {
        Self::Workspace(workspace)
    }
}

impl From<&SmolStr> for Subject {
    fn from(workspace: &SmolStr) -> Self {
        Self::Workspace(workspace.clone())
    }
}

impl From<&str> for Subject {
    fn from(workspace: &str) -> Self {
        Self::Workspace(SmolStr::new(workspace))
    }
}

impl From<&Self> for Subject {
    fn from(s: &Self) -> Self {
        s.clone()
    }
}

/// A rate limit with a burst.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Tokens, or requests, a second.
    pub rate: f64,
    /// The tokens that may be used on top of the rate at once.
    pub burst: f64,
}

/// The overuse of a limit that is allowed to all VMs together. It reduces the coordination that VMs need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The span over which use is summed.
    pub window: Duration,
    /// The fraction of the limit that may be used beyond it.
    pub over: f64,
    /// The absolute number of tokens that may be used beyond it.
    pub slack: f64,
}

/// The allowance beyond the limit that an endpoint states: within four seconds it tolerates one and a half times as
/// much and five requests.
const ENDPOINTS: Allowance = Allowance {
    window: Duration::from_secs(4),
    over: 0.5,
    slack: 5.0,
};

/// The allowance beyond the rate of a cold endpoint, which fails within a second.
const COLD_ENDPOINTS: Allowance = Allowance {
    window: Duration::from_secs(1),
    over: 0.5,
    slack: 5.0,
};

impl Default for Allowance {
    /// Allows nothing beyond the limit in a window of ten seconds.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            over: 0.0,
            slack: 0.0,
        }
    }
}

/// The bounds on accounts that follow from a limit and its allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The earnings of all VMs together, in tokens a second.
    pub rate: f64,
    /// The maximum of unused own earnings, over all VMs together.
    pub own: f64,
    /// The maximum of a pool.
    pub pool: f64,
}

impl Allowance {
    /// Returns the maximum use of a limit by all VMs together within the window.
    #[must_use]
    pub fn bound(&self, limit: Limit) -> f64 {
        self.nominal(limit) * (1.0 + self.over) + self.slack
    }

    /// Returns the use within the window without overuse.
    fn nominal(&self, limit: Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Returns the terms for accounts under which the bound holds.
    ///
    /// Tokens used within a window were in an account at its beginning, were in transit then, or were earned within it.
    /// Tokens in transit were in an account at most [`MAX_TRANSFER_TIME`] before. The sum is therefore at most what
    /// accounts hold, plus what is earned in the window and in twice that time (to the pool, and from it).
    #[must_use]
    pub fn terms(&self, limit: Limit) -> Terms {
        self.terms_storing(limit, STORED_SHARE)
    }

    fn terms_storing(&self, limit: Limit, share: f64) -> Terms {
        let beyond = self.nominal(limit) * self.over + self.slack;
        let stored = limit.burst + beyond * share;
        let earning = (self.window + MAX_TRANSFER_TIME * 2).as_secs_f64() * (1.0 + SHARE_EXCESS);
        let rate = limit
            .rate
            .min((self.bound(limit) - stored) / earning)
            .max(0.0);
        let own = (rate * OWN_EARNINGS_S).min(stored);
        Terms {
            rate,
            own,
            pool: stored - own,
        }
    }
}

/// One VM's tokens of one limit.
#[derive(Clone, Debug)]
struct Account {
    limit: Limit,
    terms: Terms,
    /// The tokens that this VM earned and hasn't used.
    own: f64,
    /// The tokens that this VM collected from others.
    pool: f64,
    /// The number of VMs that transferred tokens in the last round of collections.
    contributors: usize,
    /// The number of VMs that transferred tokens in this round.
    contributing: usize,
    /// When this round began.
    round: Instant,
    /// The coordinator to which this VM transferred tokens last, and when.
    coordinator: Option<(SmolStr, Instant)>,
    /// When it last earned.
    at: Instant,
    /// The tokens for which rejected callers were asked to come back.
    promised_tokens: f64,
}

impl Account {
    fn new(now: Instant, limit: Limit, terms: Terms) -> Self {
        Self {
            limit,
            terms,
            own: 0.0,
            pool: 0.0,
            contributors: 0,
            contributing: 0,
            round: now,
            coordinator: None,
            at: now,
            promised_tokens: 0.0,
        }
    }

    /// Adds the earnings since the last call, and applies the bounds of the account.
    fn earn(&mut self, now: Instant, vms: usize) {
        let s = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.promised_tokens = (self.promised_tokens - s * self.terms.rate).max(0.0);
        if vms > 0 {
            let part = share(vms);
            self.own = (self.own + s * self.terms.rate * part).min(self.terms.own * part);
        }
        if now.saturating_duration_since(self.round) > POOL_LIFETIME {
            self.pool = 0.0;
        }
        self.pool = self.pool.min(self.max_pool(vms));
    }

    /// Returns the maximum of the pool: the share of the VMs that fill it.
    fn max_pool(&self, vms: usize) -> f64 {
        let contributors = self.contributors.max(self.contributing).min(vms);
        if contributors == 0 {
            return 0.0;
        }
        self.terms.pool * (share(vms) / share(contributors))
    }

    fn left(&self) -> f64 {
        self.own + self.pool
    }

    fn spend(&mut self, tokens: f64) {
        let from_own = tokens.min(self.own);
        self.own -= from_own;
        self.pool -= tokens - from_own;
    }
}

/// Returns the share of each VM in a limit.
#[expect(clippy::cast_precision_loss, reason = "a site has few VMs")]
fn share(vms: usize) -> f64 {
    1.0 / vms as f64
}

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Grant {
    /// The tokens were taken out of the account.
    Granted,
    /// There are too few tokens; there are expected to be enough after this time.
    Short(Duration),
}

/// One VM's accounts of all limits.
#[derive(Debug)]
pub struct Quotas {
    allowance: Allowance,
    /// The allowance beyond the rate of a cold endpoint.
    cold: Allowance,
    /// The number of VMs that share the limits; zero while it is unknown, and then nothing is earned.
    vms: usize,
    accounts: BTreeMap<Subject, Account>,
}

/// Queries.
impl Quotas {
    /// Creates the accounts of a VM that knows no limits yet. Accounts start empty, since the tokens from before a
    /// restart may have been used.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            cold: COLD_ENDPOINTS,
            vms: 0,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns `true` if a subject has a limit.
    #[must_use]
    pub fn is_limited(&self, subject: &Subject) -> bool {
        self.accounts.contains_key(subject)
    }

    /// Returns the subjects that have a limit.
    pub fn subjects(&self) -> impl Iterator<Item = &Subject> {
        self.accounts.keys()
    }

    /// Returns the number of VMs that share the limits, or 0 if it is unknown.
    #[must_use]
    pub fn vms(&self) -> usize {
        self.vms
    }

    /// Returns for each limit the tokens that this VM earned itself and those that it collected.
    pub fn holdings(&self) -> impl Iterator<Item = (&Subject, f64, f64)> {
        self.accounts.iter().map(|(s, a)| (s, a.own, a.pool))
    }
}

/// Commands.
impl Quotas {
    /// Sets the allowance beyond the limits of workspaces.
    pub fn set_allowance(&mut self, now: Instant, allowance: Allowance) {
        if allowance == self.allowance {
            return;
        }
        self.allowance = allowance;
        let workspaces = self.accounts.iter().filter_map(|(s, a)| match s {
            Subject::Workspace(name) => Some((name.clone(), a.limit)),
            Subject::Endpoint(_) => None,
        });
        let limits: Vec<_> = workspaces.collect();
        self.set_limits(now, limits);
    }

    /// Sets the limits of all workspaces. Tokens beyond a lowered limit are removed at once.
    pub fn set_limits<I>(&mut self, now: Instant, limits: I)
    where
        I: IntoIterator<Item = (SmolStr, Limit)>,
    {
        let limits: BTreeMap<Subject, Limit> =
            limits.into_iter().map(|(w, l)| (w.into(), l)).collect();
        self.accounts
            .retain(|s, _| matches!(s, Subject::Endpoint(_)) || limits.contains_key(s));
        for (subject, limit) in limits {
            self.set_limit(now, subject, limit, ENDPOINTS);
        }
    }

    /// Sets the limit that an endpoint states, in requests a second.
    pub fn limit_endpoint(&mut self, now: Instant, id: &SmolStr, rate: f64) {
        let limit = Limit { rate, burst: 0.0 };
        self.set_limit(now, Subject::Endpoint(id.clone()), limit, ENDPOINTS);
    }

    /// Sets the limit of an endpoint while it is cold, in requests a second.
    pub fn limit_cold_endpoint(&mut self, now: Instant, id: &SmolStr, rate: f64) {
        let limit = Limit { rate, burst: 0.0 };
        self.set_limit(now, Subject::Endpoint(id.clone()), limit, self.cold);
    }

    /// Sets the allowance beyond the rate of cold endpoints, for those that become cold from now on.
    pub fn set_cold_allowance(&mut self, cold: Allowance) {
        self.cold = cold;
    }

    /// Removes the limit of an endpoint.
    pub fn remove_endpoint_limit(&mut self, id: &SmolStr) {
        self.accounts.remove(&Subject::Endpoint(id.clone()));
    }

    /// Removes the limits of all endpoints for which `is_kept` returns `false`.
    pub fn retain_endpoints<F>(&mut self, is_kept: F)
    where
        F: Fn(&str) -> bool,
    {
        self.accounts.retain(|s, _| match s {
            Subject::Workspace(_) => true,
            Subject::Endpoint(id) => is_kept(id),
        });
    }

    fn set_limit(&mut self, now: Instant, subject: Subject, limit: Limit, endpoints: Allowance) {
        let terms = subject.terms(limit, self.allowance, endpoints);
        let account = self.accounts.entry(subject);
        let account = account.or_insert_with(|| Account::new(now, limit, terms));
        account.earn(now, self.vms);
        (account.limit, account.terms) = (limit, terms);
        account.earn(now, self.vms);
    }

    /// Sets the number of VMs that share the limits. A lower number than before is ignored: each VM that counts fewer
    /// VMs takes a larger share, while a silent VM may only be cut off and continue.
    pub fn set_vms(&mut self, now: Instant, vms: usize) {
        if vms <= self.vms {
            return;
        }
        for a in self.accounts.values_mut() {
            a.earn(now, self.vms);
        }
        self.vms = vms;
        for a in self.accounts.values_mut() {
            a.earn(now, vms);
        }
    }

    /// Acquires tokens of a limit for a request. Returns `true` if there were enough, or if there is no limit.
    pub fn acquire<S>(&mut self, now: Instant, subject: S, tokens: f64) -> bool
    where
        S: Into<Subject>,
    {
        let Some(a) = self.accounts.get_mut(&subject.into()) else {
            return true;
        };
        a.earn(now, self.vms);
        let enough = a.left() >= tokens;
        if enough {
            a.spend(tokens);
        }
        enough
    }

    /// Grants another VM tokens for a request, or returns the time after which to retry.
    ///
    /// The time includes the tokens for callers that were rejected before. If all were given the same time, all would
    /// come back at once and all but the first would be rejected again.
    pub fn grant<S>(&mut self, now: Instant, subject: S, tokens: f64) -> Grant
    where
        S: Into<Subject>,
    {
        let subject = subject.into();
        if self.acquire(now, &subject, tokens) {
            return Grant::Granted;
        }
        let Some(a) = self.accounts.get_mut(&subject) else {
            return Grant::Granted;
        };
        let missing = a.promised_tokens + tokens - a.left();
        a.promised_tokens += tokens;
        let wait = missing / a.terms.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_WAIT);
        Grant::Short(wait.clamp(MIN_WAIT, MAX_WAIT))
    }

    /// Refunds the tokens of a request that didn't run, into this VM's own earnings and up to their bound.
    pub fn refund<S>(&mut self, now: Instant, subject: S, tokens: f64)
    where
        S: Into<Subject>,
    {
        let vms = self.vms;
        if let Some(a) = self.accounts.get_mut(&subject.into()) {
            a.own += tokens;
            a.earn(now, vms);
        }
    }

    /// Begins a round of collections. Every VM does so each [`COLLECT_EVERY`], whether it is a coordinator or not.
    pub fn begin_round(&mut self, now: Instant) {
        for a in self.accounts.values_mut() {
            (a.contributors, a.contributing) = (a.contributing, 0);
            a.round = now;
            a.earn(now, self.vms);
        }
    }

    /// Transfers this VM's earnings of a limit to its coordinator. Returns `None` if another coordinator asked too
    /// recently.
    pub fn transfer<S>(&mut self, now: Instant, subject: S, coordinator: &SmolStr) -> Option<f64>
    where
        S: Into<Subject>,
    {
        let vms = self.vms;
        let a = self.accounts.get_mut(&subject.into())?;
        let is_taken = a.coordinator.as_ref().is_some_and(|(other, at)| {
            other != coordinator && now.saturating_duration_since(*at) < COORDINATOR_SWITCH_AFTER
        });
        if is_taken {
            return None;
        }
        a.earn(now, vms);
        a.coordinator = Some((coordinator.clone(), now));
        Some(std::mem::take(&mut a.own))
    }

    /// Adds tokens that a VM transferred to the pool; tokens beyond the pool's maximum are lost.
    pub fn credit<S>(&mut self, now: Instant, subject: S, tokens: f64)
    where
        S: Into<Subject>,
    {
        let vms = self.vms;
        if let Some(a) = self.accounts.get_mut(&subject.into()) {
            a.contributing += 1;
            // A count of tokens that is NaN or negative is taken as zero.
            a.pool += tokens.max(0.0);
            a.earn(now, vms);
        }
    }
}
