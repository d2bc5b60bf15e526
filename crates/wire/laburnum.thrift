// Messages between the processes of a fleet.
//
// 64-bit counters are unsigned in the program; they travel with the same bits in an i64.

enum MemberState {
  ALIVE = 0,
  SUSPECT = 1,
  LEAVING = 2,
  GONE = 3,
}

struct Nothing {
}

struct Row {
  1: required string key
  2: optional string value
  3: required i64 revision
}

struct HolderSource {
  1: required string holder
  2: required i64 number
}

union Source {
  1: i64 table
  2: HolderSource holder
}

struct Movement {
  1: required string budget
  2: required i64 tokens
  3: required Source source
}

struct Reservation {
  1: required binary request
  2: required string budget
  3: required i64 tokens
  4: required string backend
}

struct Settlement {
  1: required binary request
  2: required i64 tokens
}

struct Flush {
  1: required i64 segment
  2: required i64 through
}

struct TicketClaim {
  1: required i64 ticket
  2: required binary digest
  3: required binary request
}

struct Answer {
  1: required i16 status
  2: required string body
}

union ClaimOutcome {
  1: Answer answer
  2: Nothing not_run
  3: Nothing unknown
}

struct TicketOutcome {
  1: required i64 ticket
  2: required ClaimOutcome outcome
}

union Verdict {
  1: Nothing run
  2: Nothing busy
  3: ClaimOutcome done
  4: Nothing mismatch
  5: Nothing invalid
}

union Entry {
  1: Movement credit
  2: Movement debit
  3: Reservation reserve
  4: Settlement settle
  5: binary release
  6: Flush flushed
  7: TicketClaim claim
  8: TicketOutcome outcome
  9: i64 ticket_floor
}

struct Append {
  1: required string holder
  2: required i64 first
  3: required bool snapshot
  4: required list<Entry> entries
}

struct Appended {
  1: required string holder
  2: required i64 through
}

struct SealedCopy {
  1: required string holder
  2: required i64 through
  3: required list<Entry> entries
}

enum Class {
  URGENT = 0
  NORMAL = 1
  LONG = 2
}

struct TransferAsk {
  1: required string budget
  2: required i64 tokens
  3: required Class priority
}

struct Transfer {
  1: required i64 number
  2: required string to
  3: required string budget
  4: required i64 tokens
}

struct Locate {
  1: required binary request
  2: required string backend
}

struct Located {
  1: required binary request
  2: required string backend
  3: required string holder
}

struct ClaimReply {
  1: required i64 ticket
  2: required binary request
  3: required Verdict verdict
}

struct Member {
  1: required string host
  2: required string zone
  3: required string address
  4: required i64 incarnation
  5: required MemberState state
  6: required i64 revision
  7: required i64 refuted
}

struct Heartbeat {
  1: required i64 number
  2: required i64 revision
  3: required i64 digest
  4: required list<Member> members
}

struct ConfigRows {
  1: required list<Row> rows
  2: required i64 after
  3: required i64 through
  4: required i64 current
  5: required i64 deletions_after
}

union Message {
  1: Append append
  2: Appended appended
  3: string append_refused
  4: string seal
  5: SealedCopy sealed
  6: TransferAsk transfer_ask
  7: Transfer transfer
  8: i64 transfer_ack
  9: Locate locate
  10: Located located
  11: TicketClaim claim
  12: ClaimReply claim_reply
  13: TicketOutcome claim_outcome
  14: i64 claim_outcome_ack
  15: Heartbeat heartbeat
  16: i64 config_ask
  17: ConfigRows config_rows
}

struct Clock {
  1: required i64 wall_ms
  2: required i32 logical
}

struct Envelope {
  // Holder that sent it.
  1: required string holder
  2: required string zone
  // Address at which the sender takes messages.
  3: required string address
  // Address that it was sent to.
  4: required string to
  // Session of the connection, from the receiver's greeting; 0 in a datagram or a greeting.
  5: required i64 session
  // Incarnation of the sender.
  6: required i64 incarnation
  // Number of the envelope within the sender's incarnation.
  7: required i64 number
  8: required Clock clock
  9: optional binary request
  // A Message in the compact protocol; empty where the envelope only authenticates the sender.
  10: required binary body
  11: required binary mac
}

struct Greeting {
  1: required string holder
  2: required i64 incarnation
  3: required i64 session
  4: required binary mac
}

struct Held {
  1: required string budget
  2: required i64 tokens
}

struct Status {
  1: required string host
  2: required string holder
  3: required string zone
  4: required i64 revision
  5: required string state
  // JSON text.
  6: required string detail
  7: required list<Held> budgets
}

struct TimelineQuery {
  1: optional binary request
  2: required i64 from_ms
  3: required i64 until_ms
  4: required i32 limit
}

struct TimelineEvent {
  1: required Clock clock
  2: required string host
  3: required i64 sequence
  4: optional binary request
  5: required string step
  6: required string peer
  7: optional Clock cause
  8: required string detail
}

exception Denied {
  1: required string reason
}

service Host {
  // Authenticates both ends of a connection.
  Greeting greet(1: Envelope envelope) throws (1: Denied denied)
  // Delivers a message, at most once.
  oneway void deliver(1: Envelope envelope)
  Status status(1: string token) throws (1: Denied denied)
  list<TimelineEvent> timeline(1: string token, 2: TimelineQuery query) throws (1: Denied denied)
}

// Names the prompt of a stream by a digest of 32 bytes, and one of its events by its id.
struct ResumePoint {
  1: required binary prompt
  2: required i64 event
}

// Names a row of an allocation by its process and the number of the transaction that wrote it.
struct AllocationNote {
  1: required string holder
  2: required i64 number
  // When the row was written, in milliseconds of the platform's clock. With it, it is asked whether
  // the process went on using the row without a renewal; without it, that is to be noted.
  3: optional i64 written_ms
}

// A host asks another for prepaid tokens of a workspace, or gives some back.
struct LendAsk {
  1: required string workspace
  2: required i64 tokens
  // All or none are wanted; the host that is asked may get them from the budget and from others.
  3: optional bool whole
  // Tokens that belong to the receiver from now on.
  4: optional i64 returned
  // A stream that didn't end, whose prompt was charged, and the last event that was passed on.
  5: optional ResumePoint charged
  // A stream that is resumed; the answer tells whether its prompt was charged before.
  6: optional ResumePoint resumed
  // A row of an allocation of the workspace.
  7: optional AllocationNote note
}

// Tokens that the other host gave, what it could still give, what it gives back to the budget, and
// whether the budget has just been seen not to cover the wish.
struct Lent {
  1: required i64 tokens
  2: required i64 left
  3: required i64 returning
  4: optional bool exhausted
  // The prompt of the resumed stream was charged; the receiver uses up this charge.
  5: optional bool charged
  // Whether the row is noted; absent if the other host can't tell.
  6: optional bool noted
}
