//! Remembers whose prompts were charged for streams that didn't end, so that a caller that resumes
//! its stream pays for the prompt once.
//!
//! A lender of the workspace keeps the credits of its availability zone in memory. A credit stands
//! for one charge and is used once; where nobody knows of it, as after the lender has died, the
//! prompt is charged again. This suits a load of streams that break off and are resumed within
//! seconds, mostly at another host of the same zone.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use wire::lend::{PromptDigest, ResumePoint};

use crate::request::Prompt;

/// Time after which a credit is forgotten; callers resume a stream within their deadline.
const CREDIT_TTL: Duration = Duration::from_secs(60);

/// Maximum number of credits of a workspace; the oldest ones give way.
const MAX_CREDITS: usize = 1024;

/// Returns the digest by which a request is recognized as the continuation of another one: the same
/// method and target, prompt and body.
pub fn prompt_digest(method: &str, target: &str, prompt: &Prompt, body: &[u8]) -> PromptDigest {
    let mut hasher = blake3::Hasher::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    add(method.as_bytes());
    add(target.as_bytes());
    add(&prompt.input.to_le_bytes());
    add(&prompt.output.to_le_bytes());
    for part in prompt.shared.iter().chain(&prompt.end) {
        add(part.name.as_bytes());
        add(&part.tokens.to_le_bytes());
    }
    add(body);
    *hasher.finalize().as_bytes()
}

#[derive(Debug)]
struct Credit {
    point: ResumePoint,
    noted_at: Duration,
}

/// Credits of all workspaces.
#[derive(Debug, Default)]
pub struct Credits {
    by_workspace: HashMap<Arc<str>, VecDeque<Credit>>,
}

impl Credits {
    /// Notes that a prompt was charged, and up to which event its response was passed on.
    pub fn note(&mut self, now: Duration, workspace: &Arc<str>, point: ResumePoint) {
        let credits = self.by_workspace.entry(workspace.clone()).or_default();
        forget_expired(credits, now);
        if credits.len() >= MAX_CREDITS {
            credits.pop_front();
        }
        credits.push_back(Credit { point, noted_at: now });
    }

    /// Uses up a credit for a stream that is resumed at a point; returns whether there was one.
    pub fn claim(&mut self, now: Duration, workspace: &str, point: ResumePoint) -> bool {
        let Some(credits) = self.by_workspace.get_mut(workspace) else { return false };
        forget_expired(credits, now);
        let is_for = |credit: &Credit| {
            credit.point.prompt == point.prompt && credit.point.event >= point.event
        };
        let Some(index) = credits.iter().position(is_for) else { return false };
        credits.remove(index);
        true
    }
}

fn forget_expired(credits: &mut VecDeque<Credit>, now: Duration) {
    let is_expired = |credit: &mut Credit| now.saturating_sub(credit.noted_at) >= CREDIT_TTL;
    while credits.pop_front_if(is_expired).is_some() {}
}
