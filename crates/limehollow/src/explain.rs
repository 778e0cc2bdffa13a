//! Explanations of models, endpoints and orders for operators, derived from the log's state alone.

use crate::error::{Result, UnknownSnafu};
use crate::fleet::{Fleet, OrderState, ReplicaState};
use crate::id::Offset;
use crate::plan::ModelVersion;

/// Explains a model: its intent, its replicas, and its unsettled orders.
///
/// # Errors
///
/// Returns [`crate::Error::Unknown`] if neither the confirmed intent nor an endpoint contains the model.
pub fn model(fleet: &Fleet, name: &str) -> Result<Vec<String>> {
    let mut lines = Vec::new();
    match fleet
        .confirmed_intent()
        .and_then(|p| p.intent.model(name).map(|m| (p, m)))
    {
        Some((p, m)) => lines.push(format!(
            "{name}@{} with {} replicas at priority {} for {} was asked for by {} in intent {}",
            m.version,
            m.replicas,
            m.priority.as_str(),
            if m.service.is_empty() {
                "any service"
            } else {
                &m.service
            },
            p.intent.operator,
            p.offset
        )),
        None => lines.push(format!("{name} is not part of the confirmed intent")),
    }
    for (vm, e) in fleet.endpoints() {
        for (i, a) in e.accelerators.iter().enumerate() {
            for (m, r) in a.replicas.iter().filter(|(m, _)| m.name.as_str() == name) {
                let place = format!("{vm}/{i} in {}", e.zone);
                lines.push(replica_line(m, r.state, &place));
                let why = r.last_order.and_then(|o| fleet.order(o).map(|s| (o, s)));
                lines.extend(why.map(|(o, s)| format!("  {}", order_line(o, s))));
            }
        }
    }
    for t in fleet
        .missing_targets()
        .filter(|t| t.model.name.as_str() == name)
    {
        let p = &t.place;
        lines.push(format!(
            "planned at {}/{} in {}, not ready there",
            p.endpoint, p.accelerator, t.zone
        ));
    }
    let known = lines.len() > 1
        || fleet
            .confirmed_intent()
            .is_some_and(|p| p.intent.model(name).is_some());
    if known {
        Ok(lines)
    } else {
        UnknownSnafu {
            what: "model",
            name,
        }
        .fail()
    }
}

/// Explains an endpoint: its presence and since when, its replicas, and its unsettled order.
///
/// # Errors
///
/// Returns [`crate::Error::Unknown`] if no endpoint of that name was ever recorded.
pub fn endpoint(fleet: &Fleet, name: &str) -> Result<Vec<String>> {
    let Some(e) = fleet.endpoint(name) else {
        return UnknownSnafu {
            what: "endpoint",
            name,
        }
        .fail();
    };
    let fencing = if e.checks_fencing() {
        "checks fencing numbers"
    } else {
        "takes any order"
    };
    let mut lines = vec![format!(
        "{name} in {} at {} is {:?} since offset {} (incarnation {}); it {fencing}",
        e.zone, e.address, e.presence, e.since, e.incarnation
    )];
    for (i, a) in e.accelerators.iter().enumerate() {
        lines.push(format!(
            "accelerator {i}: {} of {} bytes reserved",
            a.used(),
            a.capacity
        ));
        for (m, r) in &a.replicas {
            lines.push(replica_line(m, r.state, &format!("{name}/{i}")));
        }
    }
    let pending = e.pending.and_then(|o| fleet.order(o).map(|s| (o, s)));
    lines.extend(pending.map(|(o, s)| order_line(o, s)));
    Ok(lines)
}

/// Explains an order: its issuer, its cause, and its outcome.
///
/// # Errors
///
/// Returns [`crate::Error::Unknown`] if there is no such order or it is no longer retained.
pub fn order(fleet: &Fleet, offset: Offset) -> Result<Vec<String>> {
    match fleet.order(offset) {
        Some(o) => Ok(vec![order_line(offset, o)]),
        None => UnknownSnafu {
            what: "order",
            name: offset.to_string(),
        }
        .fail(),
    }
}

fn replica_line(m: &ModelVersion, state: ReplicaState, place: &str) -> String {
    let state = match state {
        ReplicaState::Ready => "ready".to_owned(),
        ReplicaState::Loading(o) => format!("being loaded by order {o}; its memory is reserved"),
        ReplicaState::Unloading(o) => {
            format!("being unloaded by order {o}; its memory stays reserved, no request goes there")
        }
    };
    format!("{}@{} at {place} is {state}", m.name, m.version)
}

fn order_line(offset: Offset, o: &OrderState) -> String {
    let what = o.action.as_str();
    let place = format!("{}/{}", o.place.endpoint, o.place.accelerator);
    let end = match &o.settled {
        None => "its outcome is not known yet".to_owned(),
        Some(s) => format!(
            "{:?} at offset {}, known because {:?}",
            s.outcome, s.offset, s.evidence
        ),
    };
    format!(
        "order {offset}: {what} {}@{} at {place}, given for {:?} by {} under epoch {}; {end}",
        o.model.name, o.model.version, o.cause, o.sender.0, o.epoch
    )
}
