#pragma once

#include <map>
#include <set>

#include "entry_calls_p.h"

namespace ring::entry {

/// Forwards calls to the entries that own their programs, and serves calls that
/// other entries forward. Thread-safe.
class Forwarder {
 public:
  Forwarder(const EntryInit& init, const EntryParts& parts, CallService& calls);

  void Attach(HubI& hub);

  /// Runs a call here or at the owner of its program.
  /// @returns the answer to read
  Outcome<std::shared_ptr<AnswerStream>> Run(const RawCall& raw,
                                             const CallRequest& request);
  /// A reader of the answer went away.
  void OnReaderGone(const std::shared_ptr<AnswerStream>& answer);
  /// @returns forwarded calls under way, both directions
  size_t under_way() const;

  /// Events of the hub; never wait.
  void OnFrame(SessionHandle session, const Frame& frame);
  void OnClosed(SessionHandle session);

  /// Duty of several threads: submits calls of other entries and calls whose
  /// owner was lost.
  Status RunSubmit(const StopToken& stop);
  /// Duty: copies answers to other entries and to callers.
  Status RunRelay(const StopToken& stop);

 private:
  /// A call forwarded by this entry.
  struct Outbound {
    SessionHandle session;
    RawCall raw;
    CallRequest request;
    std::shared_ptr<AnswerStream> answer;
  };
  /// A call forwarded to this entry, or taken over from a lost owner.
  struct Job {
    SessionHandle session;  ///< Invalid: taken over.
    uint64_t correlation = 0;
    RawCall raw;
    CallRequest request;
    std::shared_ptr<AnswerStream> answer;  ///< Of a call taken over.
    bool owner_refused = false;  ///< The owner said that the call did not run.
  };
  struct Relay {
    SessionHandle session;
    uint64_t correlation = 0;
    std::shared_ptr<AnswerStream> source;
    std::shared_ptr<AnswerStream> target;  ///< Valid if there is no session.
    std::string expected;  ///< Start of the source that the target has.
    size_t offset = 0;
    bool done = false;
  };
  using Key = std::pair<SessionHandle, uint64_t>;

  /// @returns an open session to an entry, invalid if none opens soon
  SessionHandle SessionTo(const std::string& owner) const;
  std::shared_ptr<AnswerStream> SendCall(const RawCall& raw,
                                         const CallRequest& request,
                                         const std::string& owner);
  void OnCall(SessionHandle session, const Frame& frame);
  void OnChunk(SessionHandle session, const Frame& frame);
  void OnEnd(SessionHandle session, const Frame& frame);
  void OnCancel(SessionHandle session, const Frame& frame);
  void RunInbound(const Job& job);
  void RunTakeover(const Job& job);
  void TakeOver(Outbound outbound, bool owner_refused);
  bool IsWanted(const Job& job) const;
  void FailTakeover(AnswerStream& answer);
  void AddRelay(Relay relay);
  void Step(Relay& relay);
  void StepLocal(Relay& relay, const AnswerStream::Piece& piece);
  void StepRemote(Relay& relay, const AnswerStream::Piece& piece);
  bool SendEnd(SessionHandle session,
               uint64_t correlation,
               const FinalAnswer& final);

  const EntryInit& init_;
  const EntryParts& parts_;
  CallService& calls_;
  HubI* hub_ = nullptr;
  BoundedQueue<Job> jobs_;
  BoundedQueue<int> relay_wake_;
  mutable std::mutex mutex_;
  uint64_t next_correlation_ = 1;
  std::map<Key, Outbound> outbound_;
  std::set<Key> inbound_;  ///< Forwarded to this entry and not yet ended.
  std::vector<Relay> relays_;
  std::map<const AnswerStream*, CallPtr> local_;  ///< Answers of local calls.
  std::atomic<size_t> takeovers_{0};
};

}  // namespace ring::entry
