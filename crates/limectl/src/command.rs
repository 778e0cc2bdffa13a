//! Runs a command and gives the text to print.

use crate::args::{Call, Command};
use crate::error::{NoPlanSnafu, Result};
use crate::intent_file::IntentFile;
use crate::session::Session;
use crate::show;
use limehollow::explain;
use limehollow::fleet::Fleet;
use limehollow::id::{Offset, OperatorName};
use limehollow::record::{Answer, AnswerKind, Record};
use limehollow_controller::settings::ControllerSettings;
use limehollow_edge::error::UsageSnafu;
use limehollow_edge::http::{client, json};
use limehollow_edge::settings::load;
use limehollow_gateway::settings::GatewaySettings;
use std::path::Path;
use std::time::Duration;

/// Runs a command and gives the text to print.
///
/// # Errors
///
/// What kept it from being done; [`crate::error::Error::exit`] gives the exit code.
pub async fn run(call: &Call) -> Result<String> {
    match &call.command {
        Command::IntentCheck(file) => {
            load::<IntentFile>(file)?;
            Ok(format!("{}: the intent is valid\n", file.display()))
        }
        Command::IntentPublish(file) => publish(call, file).await,
        Command::PlanShow => show_plan(call).await,
        Command::PlanConfirm(plan) => answer(call, *plan, AnswerKind::Confirm).await,
        Command::PlanReject(plan) => answer(call, *plan, AnswerKind::Reject).await,
        Command::Wait => wait(call).await,
        Command::Status => status(call).await,
        Command::ExplainModel(name) => explained(call, |f| explain::model(f, name)).await,
        Command::ExplainEndpoint(name) => explained(call, |f| explain::endpoint(f, name)).await,
        Command::ExplainOrder(offset) => explained(call, |f| explain::order(f, *offset)).await,
        Command::Dump(address) => dump(address).await,
        Command::CheckSettings(role, file) => check_settings(role, file),
    }
}

async fn open(call: &Call) -> Result<Session> {
    let Some(platform) = &call.platform else {
        return Ok(UsageSnafu {
            why: "--platform IP:PORT is missing",
        }
        .fail()?);
    };
    Session::open(platform, Duration::from_millis(call.timeout_ms)).await
}

async fn publish(call: &Call, file: &Path) -> Result<String> {
    let intent = load::<IntentFile>(file)?.into_intent(&call.operator);
    let mut s = open(call).await?;
    // A change names the intent that this operator has read, so that a race is noticed.
    let record = match s.fleet().latest_intent() {
        Some(p) => Record::IntentChange(intent.change_from(p.offset, &p.intent)),
        None => Record::Intent(intent),
    };
    let offset = s.append(&record).await?;
    Ok(format!("intent {offset}\n"))
}

async fn show_plan(call: &Call) -> Result<String> {
    let mut s = open(call).await?;
    let refused = s
        .until("no plan came", |f| {
            match (f.proposed_plan(), f.plan_refusal()) {
                (Some(_), _) => Some(None),
                (None, Some(r)) => Some(Some(r.clone())),
                (None, None) => None,
            }
        })
        .await?;
    if let Some(r) = refused {
        return NoPlanSnafu {
            intent: r.intent,
            why: r.why.to_string(),
        }
        .fail();
    }
    Ok(s.fleet()
        .proposed_plan()
        .map(|p| show::plan(s.fleet(), p))
        .unwrap_or_default())
}

async fn answer(call: &Call, plan: Offset, kind: AnswerKind) -> Result<String> {
    let operator = OperatorName::from(call.operator.as_str());
    let record = Record::Answer(Answer {
        plan,
        operator,
        kind,
    });
    let offset = open(call).await?.append(&record).await?;
    let done = match kind {
        AnswerKind::Confirm => "confirmed",
        AnswerKind::Reject => "rejected",
    };
    Ok(format!("plan {plan} {done} at offset {offset}\n"))
}

async fn wait(call: &Call) -> Result<String> {
    let mut s = open(call).await?;
    let done = |f: &Fleet| f.is_carried_out().then(|| f.moves_done());
    let moves = s.until("the plan was not carried out", done).await?;
    Ok(format!("the plan is carried out; moves done {moves}\n"))
}

async fn status(call: &Call) -> Result<String> {
    let mut text = show::status(open(call).await?.fleet());
    for address in &call.admins {
        let line = match fetch_dump(address).await {
            Ok(d) => format!(
                "{} {} in {}: offset in force {}\n",
                word(&d, "role"),
                word(&d, "name"),
                word(&d, "availability_zone"),
                d["offset_in_force"]
            ),
            Err(e) => format!("{address}: {e}\n"),
        };
        text.push_str(&line);
    }
    Ok(text)
}

fn word<'v>(v: &'v serde_json::Value, key: &str) -> &'v str {
    v[key].as_str().unwrap_or("?")
}

async fn explained<F>(call: &Call, f: F) -> Result<String>
where
    F: FnOnce(&Fleet) -> limehollow::Result<Vec<String>>,
{
    let s = open(call).await?;
    let mut text = f(s.fleet())?.join("\n");
    text.push('\n');
    Ok(text)
}

async fn dump(address: &str) -> Result<String> {
    let value = fetch_dump(address).await?;
    Ok(format!("{value:#}\n"))
}

async fn fetch_dump(address: &str) -> Result<serde_json::Value> {
    let req = client()?.get(format!("http://{address}/dump"));
    Ok(json("dump", req).await?)
}

fn check_settings(role: &str, file: &Path) -> Result<String> {
    match role {
        "gateway" => load::<GatewaySettings>(file).map(|_| ())?,
        "controller" => load::<ControllerSettings>(file).map(|_| ())?,
        _ => {
            let why = format!("a role is gateway or controller, not {role:?}");
            UsageSnafu { why }.fail()?;
        }
    }
    Ok(format!("{}: settings are valid\n", file.display()))
}
