//! Sends a stream to one reader, line by line.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{sync::mpsc, time::sleep};

use super::stream::{Ask, Progress, State, Watch, token};
use crate::{fault::Fault, http::Piece};

/// Kind of a fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Serves as it should.
    #[default]
    None,
    /// Sends nothing further and keeps the connection open.
    Stall,
    /// Sends nothing for a time, and then goes on.
    Pause,
    /// Closes the connection in the middle of the answer.
    Cut,
    /// Sends lines that carry another request's id.
    WrongId,
    /// Ends the answer as if it were whole, without the end line.
    NoEnd,
    /// Ends the answer with one token too many in the count.
    WrongCount,
    /// Ends the answer early, with an end line that carries no counts.
    BareEnd,
    /// Sends an end line that counts the tokens sent so far, and goes on.
    EndBetween,
    /// Sends each line twice.
    Duplicate,
    /// Sends two lines in the wrong order.
    Reorder,
    /// Takes no new streams, because the engine leaves.
    Leaving,
    /// Refuses new streams with 429.
    Refuse,
    /// Gives no copy of a stream's cache.
    NoExport,
    /// Takes no copy of a stream's cache.
    NoImport,
}

/// The reader is gone, or its answer has come to its end.
#[derive(Debug)]
struct Over;

#[derive(Debug, Serialize)]
struct Line<'a> {
    request: &'a str,
    attempt: u64,
    offset: u64,
    token: &'a str,
}

#[derive(Debug, Serialize)]
struct End<'a> {
    request: &'a str,
    attempt: u64,
    end: bool,
    tokens: u64,
    prompt_tokens: u64,
}

/// A reader of a stream.
#[derive(Debug)]
pub(super) struct Reader {
    request: String,
    attempt: u64,
    offset: u64,
    sent: u64,
    progress: Watch,
    fault: Fault<Kind>,
    kept_back: Option<Bytes>,
}

impl Reader {
    pub(super) fn new(request: &str, ask: &Ask, progress: Watch, fault: Fault<Kind>) -> Self {
        Self {
            request: request.to_owned(),
            attempt: ask.attempt,
            offset: ask.offset,
            sent: 0,
            progress,
            fault,
            kept_back: None,
        }
    }

    /// Sends lines until the stream ends or the reader leaves.
    pub(super) async fn run(mut self, sender: mpsc::Sender<Piece>) {
        // Both ends of a stream are shown to the reader by the answer's own end.
        let _ = self.send_all(&sender).await;
    }

    async fn send_all(&mut self, sender: &mpsc::Sender<Piece>) -> Result<(), Over> {
        loop {
            let progress = *self.progress.borrow_and_update();
            while self.offset < progress.tokens {
                self.send_early_end(sender, progress).await?;
                self.send_token(sender).await?;
            }
            match progress.state {
                State::Done => return self.send_end(sender, progress).await,
                State::Cancelled => return send(sender, Piece::Cut).await,
                State::Queued | State::Running => {}
            }
            tokio::select! {
                changed = self.progress.changed() => changed.map_err(|_| Over)?,
                () = sender.closed() => return Err(Over),
            }
        }
    }

    async fn send_token(&mut self, sender: &mpsc::Sender<Piece>) -> Result<(), Over> {
        self.interrupt(sender).await?;
        let token = token(&self.request, self.offset);
        let spoilt = self.sent >= self.fault.after;
        let wrong = spoilt && self.fault.kind == Kind::WrongId;
        let other = if wrong { other_id(&self.request) } else { String::new() };
        let line = json_line(&Line {
            request: if wrong { &other } else { &self.request },
            attempt: self.attempt,
            offset: self.offset,
            token: &token,
        });
        self.offset += 1;
        self.sent += 1;
        match self.fault.kind {
            Kind::Duplicate if spoilt => send(sender, Piece::Data(line.clone())).await?,
            Kind::Reorder if spoilt && self.sent == self.fault.after + 1 => {
                self.kept_back = Some(line);
                return Ok(());
            }
            _ => {}
        }
        send(sender, Piece::Data(line)).await?;
        match self.kept_back.take() {
            Some(line) => send(sender, Piece::Data(line)).await,
            None => Ok(()),
        }
    }

    /// Sends an end line before the end where the fault asks for it.
    async fn send_early_end(
        &self,
        sender: &mpsc::Sender<Piece>,
        progress: Progress,
    ) -> Result<(), Over> {
        if self.sent != self.fault.after {
            return Ok(());
        }
        let line = match self.fault.kind {
            Kind::BareEnd => json_line(&serde_json::json!({
                "request": self.request, "attempt": self.attempt, "end": true,
            })),
            Kind::EndBetween => json_line(&End {
                request: &self.request,
                attempt: self.attempt,
                end: true,
                tokens: self.offset,
                prompt_tokens: progress.prompt_tokens,
            }),
            _ => return Ok(()),
        };
        send(sender, Piece::Data(line)).await?;
        if self.fault.kind == Kind::EndBetween { Ok(()) } else { Err(Over) }
    }

    async fn send_end(
        &mut self,
        sender: &mpsc::Sender<Piece>,
        progress: Progress,
    ) -> Result<(), Over> {
        self.interrupt(sender).await?;
        if let Some(line) = self.kept_back.take() {
            send(sender, Piece::Data(line)).await?;
        }
        let tokens = match self.fault.kind {
            Kind::NoEnd => return Ok(()),
            Kind::WrongCount => progress.tokens + 1,
            _ => progress.tokens,
        };
        let end = End {
            request: &self.request,
            attempt: self.attempt,
            end: true,
            tokens,
            prompt_tokens: progress.prompt_tokens,
        };
        send(sender, Piece::Data(json_line(&end))).await
    }

    /// Stalls, pauses or cuts the answer where the fault asks for it.
    async fn interrupt(&self, sender: &mpsc::Sender<Piece>) -> Result<(), Over> {
        if self.sent < self.fault.after {
            return Ok(());
        }
        match self.fault.kind {
            Kind::Stall => {
                sender.closed().await;
                Err(Over)
            }
            Kind::Pause if self.sent == self.fault.after => {
                sleep(Duration::from_millis(self.fault.ms)).await;
                Ok(())
            }
            Kind::Cut => {
                send(sender, Piece::Cut).await?;
                Err(Over)
            }
            _ => Ok(()),
        }
    }
}

async fn send(sender: &mpsc::Sender<Piece>, piece: Piece) -> Result<(), Over> {
    sender.send(piece).await.map_err(|_| Over)
}

fn json_line(line: &impl Serialize) -> Bytes {
    let mut bytes = serde_json::to_vec(line).unwrap_or_default();
    bytes.push(b'\n');
    Bytes::from(bytes)
}

/// Returns an id of the same form that belongs to no request.
fn other_id(request: &str) -> String {
    let hex = blake3::hash(request.as_bytes()).to_hex();
    hex[..request.len().min(32)].to_owned()
}
