//! Validates callers' requests against the configuration records in force.

use std::sync::Arc;

use super::{action::Problem, catalog::Catalog, event::Call, problem::refused};
use crate::{
    holder, prefix,
    record::{Model, Route},
    request::{self, Class},
};

/// Bytes of a prompt that count as one token; the last token of a prompt may cover fewer.
pub const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// A validated request.
#[derive(Debug, Clone)]
pub struct Work {
    /// Workspace of the caller, which owns the budget.
    pub workspace: Arc<str>,
    /// Route of the requested service.
    pub route: Arc<str>,
    /// Scheduling class of the route.
    pub class: Class,
    /// Budget to charge.
    pub budget: Arc<str>,
    /// Greatest number of tokens that the request is charged; as many are reserved for it.
    pub max_charge: u64,
    /// Idempotency key or ticket.
    pub key: Option<Arc<str>>,
    /// Longest duration of the request, in milliseconds.
    pub timeout_ms: u64,
    /// Content of the request.
    pub payload: Payload,
}

impl Work {
    /// Returns the reservation of its maximum charge.
    pub fn reserve(&self, request: request::Id) -> holder::Reserve {
        holder::Reserve {
            request,
            budget: self.budget.clone(),
            tokens: self.max_charge,
            class: self.class,
            backend: Arc::from(""),
        }
    }
}

/// Content of a request.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A prompt to a model.
    Model(Prompt),
    /// A service call.
    Call {
        /// JSON body.
        body: Arc<str>,
        /// The call may be repeated; otherwise it needs a ticket.
        idempotent: bool,
    },
}

/// A prompt for a model.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Model.
    pub model: Model,
    /// Text.
    pub text: Arc<str>,
    /// Greatest number of tokens to generate.
    pub max_tokens: u64,
    /// Keys of the prompt's prefixes, shortest first.
    pub prefixes: Vec<prefix::Key>,
}

impl Prompt {
    /// Returns the number of tokens that the prompt counts.
    pub fn tokens(&self) -> u64 {
        (self.text.len() as u64).div_ceil(PROMPT_BYTES_PER_TOKEN)
    }
}

/// Validates a caller's request.
///
/// # Errors
///
/// Returns the problem for the caller if the request is invalid.
pub fn check(catalog: &Catalog, call: &Call) -> Result<Work, Problem> {
    let workspace = catalog
        .workspace(&call.token)
        .ok_or_else(|| refused(401, "unauthorized", "the token belongs to no workspace"))?;
    let route = catalog
        .route(&call.service)
        .ok_or_else(|| refused(404, "unknown_service", "no such service"))?;
    let budget = match &call.budget {
        Some(name) => workspace.budgets.iter().find(|budget| *budget == name),
        None => workspace.budgets.first(),
    };
    let budget = budget
        .filter(|name| {
            catalog
                .workspace_of(name)
                .is_some_and(|workspace_name| *workspace_name == workspace.name)
        })
        .ok_or_else(|| refused(404, "unknown_budget", "the workspace has no such budget"))?;
    let (payload, max_charge) = match &route.model {
        Some(model) => prompt(call, route, model)?,
        None => service_call(call, route)?,
    };
    Ok(Work {
        workspace: workspace.name.clone(),
        route: route.name.clone(),
        class: route.class,
        budget: budget.clone(),
        max_charge,
        key: call.key.clone(),
        timeout_ms: route.timeout_ms,
        payload,
    })
}

fn prompt(call: &Call, route: &Route, model: &Model) -> Result<(Payload, u64), Problem> {
    if call.prompt.is_empty() {
        return Err(refused(400, "bad_json", "expected a `prompt` that is not empty"));
    }
    let max_tokens = call.max_tokens.unwrap_or(route.max_tokens);
    if max_tokens == 0 || max_tokens > route.max_tokens {
        let detail = format!("expected `max_tokens` from 1 to {}", route.max_tokens);
        return Err(refused(400, "bad_max_tokens", detail));
    }
    let prefixes = prefix::keys(&model.name, call.prompt.as_bytes());
    let text = call.prompt.clone();
    let prompt = Prompt { model: model.clone(), text, max_tokens, prefixes };
    let max_charge = prompt.tokens() + max_tokens;
    Ok((Payload::Model(prompt), max_charge))
}

fn service_call(call: &Call, route: &Route) -> Result<(Payload, u64), Problem> {
    if call.body.is_empty() {
        return Err(refused(400, "bad_json", "expected an `input` for this service"));
    }
    if !route.idempotent && call.key.is_none() {
        let detail = "expected a ticket as Idempotency-Key; POST /v1/tickets issues one";
        return Err(refused(400, "ticket_required", detail));
    }
    let payload = Payload::Call { body: call.body.clone(), idempotent: route.idempotent };
    Ok((payload, route.call_tokens))
}
