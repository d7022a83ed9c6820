//! Rule 2: a retry that the controllers allowed never takes effect twice. With a single owner, a slice is never written
//! at two hosts at a time, nor at a former owner after a later one.
use crate::verdict::Verdict;
use railhub_record::{Attempt, ClassLimits, Effect, Event, EventKind, Limits, OperationIdempotency};
use std::collections::BTreeMap;

/// Shorter key windows count as this long, to avoid a division by zero.
const MIN_KEY_WINDOW_SECONDS: f64 = 1e-9;

/// One request of a client, with all attempts that a proxy made for it.
#[derive(Default)]
struct Request<'a> {
    /// The attempts and their times, in seconds.
    attempts: Vec<(f64, &'a Attempt)>,
    /// Numbers of the attempts that provably were never executed.
    not_executed: Vec<u32>,
}

impl Request<'_> {
    fn may_have_run(&self, attempt: &Attempt) -> bool {
        !self.not_executed.contains(&attempt.number)
    }
}

/// The operations of a recording.
#[derive(Default)]
struct Operations<'a> {
    /// By operation and number of the request.
    requests: BTreeMap<(u64, u32), Request<'a>>,
    /// The effects and their times in seconds, by operation.
    effects: BTreeMap<u64, Vec<(f64, &'a Effect)>>,
    /// The zones of the hosts, by address.
    zones: BTreeMap<&'a str, u32>,
}

/// The verdict on rule 2.
pub fn check(events: &[Event], limits: &Limits) -> Verdict {
    let mut verdict = Verdict::new(2, "no effect twice");
    let operations = Operations::from_events(events);
    for ((operation, _), request) in &operations.requests {
        let Some((first_at, first)) = request.attempts.first() else { continue };
        let Some(class) = limits.classes.get(first.class as usize) else { continue };
        check_retries(&mut verdict, class, request, &operations.zones);
        if class.idempotency() == OperationIdempotency::Never {
            operations.check_effects(&mut verdict, *operation, request, *first_at);
        }
    }
    if limits.single_owner {
        check_single_owner(&mut verdict, events, limits);
    }
    verdict
}

impl<'a> Operations<'a> {
    fn from_events(events: &'a [Event]) -> Operations<'a> {
        let mut operations = Operations::default();
        for event in events {
            match &event.kind {
                Some(EventKind::HostStarted(start)) => _ = operations.zones.insert(&start.host, start.zone),
                Some(EventKind::Attempt(attempt)) => {
                    let request = operations.request(attempt.operation, attempt.request);
                    request.attempts.push((event.at, attempt));
                }
                Some(EventKind::AttemptEnd(end)) if end.not_executed => {
                    operations.request(end.operation, end.request).not_executed.push(end.number);
                }
                Some(EventKind::Effect(effect)) if !effect.dropped => {
                    operations.effects.entry(effect.operation).or_default().push((event.at, effect));
                }
                _ => {}
            }
        }
        operations
    }

    fn request(&mut self, operation: u64, number: u32) -> &mut Request<'a> {
        self.requests.entry((operation, number)).or_default()
    }

    /// Checks that a non-idempotent operation took effect at most once, at the hosts that its only request reached.
    fn check_effects(&self, verdict: &mut Verdict, operation: u64, request: &Request, first_at: f64) {
        let reached =
            |effect: &Effect| request.attempts.iter().any(|(_, attempt)| attempt.host == effect.host);
        let effects = self.effects.get(&operation).into_iter().flatten();
        let count = effects.filter(|(at, effect)| reached(effect) && *at >= first_at).count();
        let requests = self.requests.range((operation, 0)..=(operation, u32::MAX)).count();
        // If the client sent the operation again, the second effect may come from that request instead of a retry.
        if requests == 1 && count > 0 {
            verdict.check_condition(first_at, count > 1, || {
                format!("operation {operation} took effect {count} times")
            });
        }
    }
}

/// Checks each retry against the first earlier attempt that may have been executed.
fn check_retries(verdict: &mut Verdict, class: &ClassLimits, request: &Request, zones: &BTreeMap<&str, u32>) {
    for (index, (at, retry)) in request.attempts.iter().enumerate().skip(1) {
        let earlier = &request.attempts[..index];
        let Some((first_at, first)) = earlier.iter().find(|(_, attempt)| request.may_have_run(attempt))
        else {
            verdict.check_passed();
            continue;
        };
        let describe = || {
            let (operation, proxy) = (retry.operation, retry.proxy);
            format!(
                "proxy {proxy} sent operation {operation} to {} after {} may have run it",
                retry.host, first.host
            )
        };
        let window_fraction = (at - first_at) / class.key_window.max(MIN_KEY_WINDOW_SECONDS);
        let same_zone = zones.get(first.host.as_str()) == zones.get(retry.host.as_str());
        match class.idempotency() {
            OperationIdempotency::Safe => verdict.check_passed(),
            OperationIdempotency::IdempotencyKeyGlobal => verdict.check(*at, window_fraction, describe),
            OperationIdempotency::IdempotencyKeyLocal if same_zone => {
                verdict.check(*at, window_fraction, describe)
            }
            OperationIdempotency::IdempotencyKeyLocal | OperationIdempotency::Never => {
                verdict.check_condition(*at, true, describe)
            }
        }
    }
}

/// One write of a slice at a host; times in seconds.
struct Write<'a> {
    began: f64,
    ended: f64,
    host: &'a str,
}

/// Checks that a slice is written at one host at a time, and never again at a former owner.
fn check_single_owner(verdict: &mut Verdict, events: &[Event], limits: &Limits) {
    for (slice, mut writes) in writes_by_slice(events, limits) {
        writes.sort_by(|a, b| a.began.total_cmp(&b.began));
        let mut former_owners: Vec<&str> = Vec::new();
        let mut owner: Option<(&str, f64)> = None;
        for Write { began, ended, host } in writes {
            let mut violated = false;
            let mut owned_until = ended;
            match owner {
                Some((owner_host, owner_until)) if owner_host == host => owned_until = owner_until.max(ended),
                Some((owner_host, owner_until)) => {
                    former_owners.push(owner_host);
                    violated = began < owner_until || former_owners.contains(&host);
                }
                None => {}
            }
            owner = Some((host, owned_until));
            verdict.check_condition(began, violated, || {
                format!("a write of slice {slice} was with {host}, which does not own it alone")
            });
        }
    }
}

fn writes_by_slice<'a>(events: &'a [Event], limits: &Limits) -> BTreeMap<u32, Vec<Write<'a>>> {
    let mut writes: BTreeMap<u32, Vec<Write>> = BTreeMap::new();
    for event in events {
        let Some(EventKind::Effect(effect)) = &event.kind else { continue };
        let class = limits.classes.get(effect.class as usize);
        if class.is_some_and(|class| class.writes) {
            let write = Write { began: effect.began, ended: event.at, host: &effect.host };
            writes.entry(effect.slice).or_default().push(write);
        }
    }
    writes
}
