//! How much is left of the limits of workspaces and of endpoints, with a sum over all VMs that holds whatever happens to them.
//!
//! Nobody has to be in charge for the sum to hold. Each VM earns the same part of each limit, into an account of its own, and
//! a token is always in one place: who hands tokens over takes them out of its account before they leave, and what is lost on
//! the way is lost. The VM that keeps a workspace's pool collects what the others have earned, several times a second, and
//! grants from it, so that a workspace whose part on each VM is less than a request is served up to its limit, and one whose
//! callers all come to one VM too. Who is cut off has what it earns itself. Where two VMs take themselves for the keeper, each
//! VM hands over to one of them only, and a pool holds no more than the part of those who fill it.
//!
//! Workspaces have limits by the operators' configuration, endpoints by what they say in their answers.
//!
//! [`Allowance::terms`] has the worst case of the sum, `docs/design/workspaces.md` the other designs and their figures.
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
//! // Another VM hands over what it has earned.
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

/// How long tokens may be on their way, from one account to the next and until a request is sent: an answer to a
/// collection that takes longer is thrown away, and what didn't run is given back only within it.
pub const MAX_TRANSFER_TIME: Duration = Duration::from_millis(250);
/// The time between two collections. Half a second of what VMs earn lies with them unused then if a collection is lost.
pub const COLLECT_EVERY: Duration = Duration::from_millis(250);
/// For how long VMs keep what they earn: three collections, so that two may be lost. While nobody collects, a VM of a
/// workspace with two requests a VM and second gathers one request's worth in that time.
const OWN_FOR: f64 = 0.75;
/// The part of what the rules allow beyond the limit that may lie in accounts, beside the burst: the rest is for tokens on
/// their way and for VMs that count each other differently.
const STORED_SHARE: f64 = 0.4;
/// The same for endpoints, whose limits have no burst: a pool has to hold what two collections bring and a request's part.
const ENDPOINT_STORED_SHARE: f64 = 0.6;
/// By how much the parts of all VMs may add up to more than the whole, while some know of a new VM and others don't.
const UNEVEN: f64 = 0.02;
/// For how long a VM that has handed over to one keeper gives nothing to another: longer than a pool lasts that is no
/// longer filled.
const ONE_KEEPER_FOR: Duration = Duration::from_millis(1000);
/// After how long without a round of collections a pool is void: its keeper stood still, and another has taken over.
const POOL_LASTS: Duration = Duration::from_millis(750);
/// The longest time that a refused caller is asked to stay away.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// The shortest one: less is gone on the way.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

/// Whose limit it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The workspace of this name: what its callers may use.
    Workspace(SmolStr),
    /// The endpoint with this id: what it takes of all VMs, in requests.
    Endpoint(SmolStr),
}

impl Subject {
    /// Gives the name by which VMs agree on who keeps its pool.
    #[must_use]
    pub fn name(&self) -> &SmolStr {
        match self {
            Self::Workspace(name) => name,
            Self::Endpoint(id) => id,
        }
    }

    /// Gives what its limit comes to, where workspaces and endpoints may be used so far beyond theirs.
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

/// What a limit allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Tokens, or requests, a second.
    pub rate: f64,
    /// What may be used on top at once.
    pub burst: f64,
}

/// How far all VMs together may go beyond a limit, which is what keeps the work of agreeing small.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The span over which use is summed.
    pub window: Duration,
    /// The part of the limit that may be used beyond it.
    pub over: f64,
    /// Tokens that may be used on top.
    pub slack: f64,
}

/// How far all VMs may go beyond the limit that an endpoint names: it bears one and a half times as much, and five requests, in
/// four seconds.
const ENDPOINTS: Allowance = Allowance {
    window: Duration::from_secs(4),
    over: 0.5,
    slack: 5.0,
};

/// How far all VMs may go beyond what a cold endpoint bears: it falls over within a second.
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

/// What a limit comes to for accounts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// What all VMs together earn, in tokens a second.
    pub rate: f64,
    /// What all VMs together may keep of what they earn themselves.
    pub own: f64,
    /// What may be in a pool.
    pub pool: f64,
}

impl Allowance {
    /// Gives the most that all VMs together may use of a limit within the window.
    #[must_use]
    pub fn bound(&self, limit: Limit) -> f64 {
        self.nominal(limit) * (1.0 + self.over) + self.slack
    }

    fn nominal(&self, limit: Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Gives the terms for accounts under which the bound holds.
    ///
    /// What is used within a window was in an account at its beginning, on its way then, or was earned in it. Tokens on
    /// their way were in an account so short a time before. So the sum is at most what accounts hold, and what is earned in
    /// the window and [`MAX_TRANSFER_TIME`] twice (to the pool, and from it).
    #[must_use]
    pub fn terms(&self, limit: Limit) -> Terms {
        self.terms_storing(limit, STORED_SHARE)
    }

    fn terms_storing(&self, limit: Limit, share: f64) -> Terms {
        let beyond = self.nominal(limit) * self.over + self.slack;
        let stored = limit.burst + beyond * share;
        let earning = (self.window + MAX_TRANSFER_TIME * 2).as_secs_f64() * (1.0 + UNEVEN);
        let rate = limit
            .rate
            .min((self.bound(limit) - stored) / earning)
            .max(0.0);
        let own = (rate * OWN_FOR).min(stored);
        Terms {
            rate,
            own,
            pool: stored - own,
        }
    }
}

/// What one VM has of a workspace's limit.
#[derive(Clone, Debug)]
struct Account {
    limit: Limit,
    terms: Terms,
    /// What this VM has earned and not used.
    own: f64,
    /// What it has collected.
    pool: f64,
    /// The VMs that handed over in the last round of collections, and in this one.
    lenders: usize,
    counted: usize,
    /// When this round began.
    round: Instant,
    /// To whom this VM handed over last, and when.
    keeper: Option<(SmolStr, Instant)>,
    /// When it last earned.
    at: Instant,
    /// What callers who were refused were told to come back for.
    promised: f64,
}

impl Account {
    fn new(now: Instant, limit: Limit, terms: Terms) -> Self {
        Self {
            limit,
            terms,
            own: 0.0,
            pool: 0.0,
            lenders: 0,
            counted: 0,
            round: now,
            keeper: None,
            at: now,
            promised: 0.0,
        }
    }

    fn earn(&mut self, now: Instant, vms: usize) {
        let s = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.promised = (self.promised - s * self.terms.rate).max(0.0);
        if vms > 0 {
            let part = share(vms);
            self.own = (self.own + s * self.terms.rate * part).min(self.terms.own * part);
        }
        if now.saturating_duration_since(self.round) > POOL_LASTS {
            self.pool = 0.0;
        }
        self.pool = self.pool.min(self.pool_room(vms));
    }

    /// Gives what the pool may hold: the part of the VMs that fill it.
    fn pool_room(&self, vms: usize) -> f64 {
        let lenders = self.lenders.max(self.counted).min(vms);
        if lenders == 0 {
            return 0.0;
        }
        self.terms.pool * (share(vms) / share(lenders))
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

#[expect(clippy::cast_precision_loss, reason = "a site has few VMs")]
fn share(vms: usize) -> f64 {
    1.0 / vms as f64
}

/// What became of a wish for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Grant {
    /// The tokens were taken out of the account.
    Granted,
    /// There are too few; when there are enough, by what is known now.
    Short(Duration),
}

/// What one VM has of all limits.
#[derive(Debug)]
pub struct Quotas {
    allowance: Allowance,
    /// How far all VMs may go beyond what a cold endpoint bears.
    cold: Allowance,
    /// How many VMs share the limits; zero while that isn't known, and then nothing is earned.
    vms: usize,
    accounts: BTreeMap<Subject, Account>,
}

/// Queries.
impl Quotas {
    /// Makes the accounts of a VM that knows no limit yet. It begins with nothing: what it had before a restart may have
    /// been used.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            cold: COLD_ENDPOINTS,
            vms: 0,
            accounts: BTreeMap::new(),
        }
    }

    /// Tells whether something has a limit here.
    #[must_use]
    pub fn is_limited(&self, subject: &Subject) -> bool {
        self.accounts.contains_key(subject)
    }

    /// Gives what has a limit.
    pub fn subjects(&self) -> impl Iterator<Item = &Subject> {
        self.accounts.keys()
    }

    /// Gives how many VMs share the limits, as far as is known.
    #[must_use]
    pub fn vms(&self) -> usize {
        self.vms
    }

    /// Gives for each limit what this VM has earned itself and what it has collected, in tokens.
    pub fn holdings(&self) -> impl Iterator<Item = (&Subject, f64, f64)> {
        self.accounts.iter().map(|(s, a)| (s, a.own, a.pool))
    }
}

/// Commands.
impl Quotas {
    /// Changes how far all VMs may go beyond the limits.
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

    /// Puts the limits of all workspaces in force: a lower one takes away at once what is too much.
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

    /// Puts the limit in force that an endpoint names, in requests a second.
    pub fn limit_endpoint(&mut self, now: Instant, id: &SmolStr, rate: f64) {
        let limit = Limit { rate, burst: 0.0 };
        self.set_limit(now, Subject::Endpoint(id.clone()), limit, ENDPOINTS);
    }

    /// Puts in force what an endpoint bears while it is cold, in requests a second.
    pub fn limit_cold_endpoint(&mut self, now: Instant, id: &SmolStr, rate: f64) {
        let limit = Limit { rate, burst: 0.0 };
        self.set_limit(now, Subject::Endpoint(id.clone()), limit, self.cold);
    }

    /// Changes how far all VMs may go beyond what cold endpoints bear, for those that get cold from now on.
    pub fn set_cold_allowance(&mut self, cold: Allowance) {
        self.cold = cold;
    }

    /// Ends the limit of an endpoint.
    pub fn remove_endpoint_limit(&mut self, id: &SmolStr) {
        self.accounts.remove(&Subject::Endpoint(id.clone()));
    }

    /// Keeps the limits of those endpoints only.
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

    /// Notes how many VMs share the limits. Fewer than before are not believed: each VM that counts fewer takes a larger
    /// part, and one that is silent may be cut off and go on.
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

    /// Takes tokens of a limit for a request. Gives whether there were enough, which is so where there is no limit.
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

    /// Grants another VM tokens for a request, or says when it may come again.
    ///
    /// Who is refused is told the time at which those who were refused before have had their turn: with one time for all
    /// of them, all would come back at once and all but the first be refused again.
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
        let missing = a.promised + tokens - a.left();
        a.promised += tokens;
        let wait = missing / a.terms.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(LONGEST_WAIT);
        Grant::Short(wait.clamp(SHORTEST_WAIT, LONGEST_WAIT))
    }

    /// Takes back what a request took that didn't run, into the account of what this VM earns and up to its bound.
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

    /// Begins a round of collections. Every VM does so each [`COLLECT_EVERY`], whether it keeps a pool or not.
    pub fn begin_round(&mut self, now: Instant) {
        for a in self.accounts.values_mut() {
            (a.lenders, a.counted) = (a.counted, 0);
            a.round = now;
            a.earn(now, self.vms);
        }
    }

    /// Hands over what this VM has of a limit to the VM that keeps its pool; gives none to a second one that asks so
    /// soon.
    pub fn transfer<S>(&mut self, now: Instant, subject: S, keeper: &SmolStr) -> Option<f64>
    where
        S: Into<Subject>,
    {
        let vms = self.vms;
        let a = self.accounts.get_mut(&subject.into())?;
        let is_taken = a.keeper.as_ref().is_some_and(|(other, at)| {
            other != keeper && now.saturating_duration_since(*at) < ONE_KEEPER_FOR
        });
        if is_taken {
            return None;
        }
        a.earn(now, vms);
        a.keeper = Some((keeper.clone(), now));
        Some(std::mem::take(&mut a.own))
    }

    /// Takes in what a VM has handed over; what is too much for the pool is lost.
    pub fn credit<S>(&mut self, now: Instant, subject: S, tokens: f64)
    where
        S: Into<Subject>,
    {
        let vms = self.vms;
        if let Some(a) = self.accounts.get_mut(&subject.into()) {
            a.counted += 1;
            // Tokens are counts: what is no number, or negative, is none.
            a.pool += tokens.max(0.0);
            a.earn(now, vms);
        }
    }
}
