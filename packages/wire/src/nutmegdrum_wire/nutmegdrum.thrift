// Messages between nutmegdrum's processes. Durable documents are sent as encoded bytes,
// so that their types are defined only once, next to the code that interprets them.

namespace py nutmegdrum_wire.gen.messages

// Sender of a call; calls from another deployment are refused.
struct Sender {
  1: string deployment,
  2: string vm,
  3: string incarnation,
}

// Error with a verdict. retry_after_ms is -1 if a retry cannot help.
exception Refused {
  1: string reason,
  2: string verdict,
  3: i64 retry_after_ms,
  4: string detail,
  5: string leader,
}

// Tokens of one stream since its last append.
struct StreamAppend {
  1: string generation,
  2: i64 epoch,
  3: i64 first_index,
  4: list<string> tokens,
  5: string finish_reason,   // empty while the stream runs
}

struct StreamOpen {
  1: string generation,
  2: string workspace,
  3: i64 epoch,
  4: string idempotency_key, // empty if the caller gave none
  5: binary request,         // encoded generation request
  6: string owner,           // VM that runs the stream
}

// Copy of one stream at a holder, a VM that keeps copies of streams for other VMs.
struct StreamCopy {
  1: string generation,
  2: string workspace,
  3: i64 epoch,
  4: binary request,
  5: list<string> tokens,
  6: string finish_reason,
  7: string owner,
  8: bool found,
}

// Result of one append: the newest epoch that the holder knows, and whether it applied the append.
struct AppendResult {
  1: string generation,
  2: i64 epoch,
  3: bool accepted,
}

// Calls between VMs, on the peers' listener.
service Peers {
  // Exchange encoded messages of the replicated log; the reply holds messages for the sender.
  list<binary> exchange_log(1: Sender sender, 2: list<binary> messages) throws (1: Refused refused),

  // Propose an encoded command to the state leader and return its encoded answer.
  binary propose(1: Sender sender, 2: binary command) throws (1: Refused refused),

  // Read the state (query and answer are encoded); a `fresh` read requires the leader's lease.
  binary read(1: Sender sender, 2: binary query, 3: bool fresh) throws (1: Refused refused),

  // Send an entry VM's heartbeat to a state replica (report and reply are encoded).
  binary heartbeat(1: Sender sender, 2: binary report) throws (1: Refused refused),

  // Ask the state leader for a permit to send to a backend server with a rate limit (both encoded).
  binary request_permit(1: Sender sender, 2: binary request) throws (1: Refused refused),

  // Exchange digests between entry VMs (both are encoded).
  binary gossip(1: Sender sender, 2: binary digest) throws (1: Refused refused),

  // Journal of streams that a holder keeps for another VM.
  StreamCopy open_stream(1: Sender sender, 2: StreamOpen open) throws (1: Refused refused),
  list<AppendResult> append_streams(1: Sender sender, 2: list<StreamAppend> appends)
    throws (1: Refused refused),
  StreamCopy fetch_stream(1: Sender sender, 2: string generation, 3: string workspace)
    throws (1: Refused refused),
  StreamCopy take_over_stream(1: Sender sender, 2: string generation, 3: string workspace,
    4: i64 epoch) throws (1: Refused refused),
  StreamCopy find_stream(1: Sender sender, 2: string workspace, 3: string idempotency_key)
    throws (1: Refused refused),
  void close_stream(1: Sender sender, 2: string generation) throws (1: Refused refused),
}

// Calls of the operators' command line, on the operators' listener of a state replica.
service Operators {
  binary submit_note(1: Sender sender, 2: string command_id, 3: string operator_name,
    4: binary note) throws (1: Refused refused),
  binary query(1: Sender sender, 2: binary query) throws (1: Refused refused),
}
