#pragma once

#include <map>
#include <set>

#include "entry_calls_p.h"

namespace ring::entry {

/// Forwards calls to the entries that own their programs and serves calls that
/// other entries forward. Thread-safe.
class Forwarder {
 public:
  Forwarder(const EntryInit& init,
            const EntryDependencies& deps,
            CallService& calls);

  void Attach(HubI& hub);

  /// Runs a call on this entry or forwards it to the owner of its program.
  /// @returns the answer to read, or the refusal of the submission
  Outcome<std::shared_ptr<AnswerStream>> Run(const RawCall& raw,
                                             const CallRequest& request);
  /// Must be called after a reader has left. Cancels a forwarded call that has
  /// no readers left, and marks a local one as without reader.
  void OnReaderGone(const std::shared_ptr<AnswerStream>& answer);
  /// @returns number of forwarded calls in progress, in both directions,
  ///          including takeovers
  size_t active_calls() const;

  /// Hub events. They never block.
  void OnFrame(SessionHandle session, const Frame& frame);
  void OnClosed(SessionHandle session);

  /// Thread loop, run by several threads: submits calls that other entries
  /// forwarded and calls whose owner was lost.
  Status RunSubmit(const StopToken& stop);
  /// Thread loop: copies answers to other entries and to callers.
  Status RunRelay(const StopToken& stop);

 private:
  /// A call that this entry forwarded to its owner.
  struct OutboundCall {
    SessionHandle session;
    RawCall raw;
    CallRequest request;
    std::shared_ptr<AnswerStream> answer;
  };
  /// A call that was forwarded to this entry, or taken over from a lost owner.
  struct SubmitJob {
    SessionHandle session;  ///< Invalid for a call taken over.
    uint64_t correlation = 0;
    RawCall raw;
    CallRequest request;
    std::shared_ptr<AnswerStream> answer;  ///< Only for a call taken over.
    /// The owner refused the call because it drains, so it was not run.
    bool owner_drained = false;
  };
  /// Copies an answer to the entry that forwarded the call, or to the answer
  /// that a caller of this entry reads.
  struct Relay {
    SessionHandle session;
    uint64_t correlation = 0;
    std::shared_ptr<AnswerStream> source;
    std::shared_ptr<AnswerStream> target;  ///< Set if there is no session.
    std::string expected;  ///< Start of the source text that the target
    ///< already holds.
    size_t offset = 0;
    bool done = false;
  };
  using Key = std::pair<SessionHandle, uint64_t>;

  /// Connects to an entry if needed; waits at most 500 ms.
  /// @returns an open session, or an invalid one
  SessionHandle ConnectToEntry(const std::string& owner) const;
  std::shared_ptr<AnswerStream> ForwardToOwner(const RawCall& raw,
                                               const CallRequest& request,
                                               const std::string& owner);
  void OnCall(SessionHandle session, const Frame& frame);
  void OnChunk(SessionHandle session, const Frame& frame);
  void OnEnd(SessionHandle session, const Frame& frame);
  void OnCancel(SessionHandle session, const Frame& frame);
  void RunInbound(const SubmitJob& job);
  void RunTakeover(const SubmitJob& job);
  void TakeOver(OutboundCall outbound, bool owner_drained);
  bool IsPending(const SubmitJob& job) const;
  void FailTakeover(AnswerStream& answer);
  void AddRelay(Relay relay);
  void RelayNewText(Relay& relay);
  void RelayToLocal(Relay& relay, const AnswerStream::Piece& piece);
  void RelayToRemote(Relay& relay, const AnswerStream::Piece& piece);
  bool SendEnd(SessionHandle session,
               uint64_t correlation,
               const FinalAnswer& final);

  const EntryInit& init_;
  const EntryDependencies& deps_;
  CallService& calls_;
  HubI* hub_ = nullptr;
  BoundedQueue<SubmitJob> jobs_;
  BoundedQueue<int> relay_wake_;
  mutable std::mutex mutex_;
  uint64_t next_correlation_ = 1;
  std::map<Key, OutboundCall> outbound_;
  std::set<Key> inbound_;  ///< Calls forwarded to this entry, until they end.
  std::vector<Relay> relays_;
  /// Unfinished calls of this entry, by answer.
  std::map<const AnswerStream*, CallPtr> local_calls_;
  std::atomic<size_t> takeovers_{0};
};

}  // namespace ring::entry
