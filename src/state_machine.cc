#include "state_machine_p.h"

#include <algorithm>

#include "core_flatbuffer_p.h"

namespace ring {
namespace {

std::string StringFrom(const flatbuffers::String* text) {
  return std::string(TextOf(text));
}

std::string DepartureKey(const UpstreamDeparture& departure) {
  return departure.instance + "/" + std::to_string(departure.born_ms);
}

UpstreamCrash ToCrash(const fb::ReportCrash& row, int64_t now_ms) {
  UpstreamCrash crash;
  crash.upstream = UpstreamKey(StringFrom(row.upstream()) + "/" +
                               std::to_string(row.born_ms()));
  crash.at_ms = now_ms - std::max(row.age_ms(), 0);
  if (row.requests() != nullptr) {
    for (const fb::LostRequest* request : *row.requests()) {
      crash.requests[request->digest()] = crash.at_ms - request->sent_ms();
    }
  }
  return crash;
}

std::string EncodeResult(const fb::StateResultT& result) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateStateResult(builder, &result));
  return BufferToString(builder);
}

}  // namespace

int64_t RingStateMachine::Impl::Program::reserved_tokens() const {
  int64_t total = 0;
  for (const auto& [turn, tokens] : open) {
    total += tokens;
  }
  return total;
}

fb::StateResultT RingStateMachine::Impl::Result(fb::StateCode code) const {
  fb::StateResultT result;
  result.code = code;
  result.version = version_;
  return result;
}

std::string RingStateMachine::Impl::Apply(int64_t time_ms,
                                          std::string_view command) {
  now_ms_ = time_ms;
  const FlatBufferView<fb::StateCommand> view(command);
  return EncodeResult(view ? Dispatch(*view.get())
                           : Result(fb::StateCode::BadCommand));
}

fb::StateResultT RingStateMachine::Impl::Dispatch(
    const fb::StateCommand& command) {
  switch (command.body_type()) {
    case fb::StateCommandBody::PutConfiguration:
      return PutConfiguration(*command.body_as_PutConfiguration());
    case fb::StateCommandBody::DepartUpstream:
      return Depart(*command.body_as_DepartUpstream());
    case fb::StateCommandBody::BeginTurn:
      return Begin(*command.body_as_BeginTurn());
    case fb::StateCommandBody::FinishTurn:
      return Finish(*command.body_as_FinishTurn());
    case fb::StateCommandBody::OrderRetire:
      return Retire(*command.body_as_OrderRetire());
    case fb::StateCommandBody::ExpireTurns:
      Expire();
      return Result(fb::StateCode::Done);
    case fb::StateCommandBody::RegisterUpstream:
      return Register(*command.body_as_RegisterUpstream());
    case fb::StateCommandBody::ReportCrash:
      return Result(fb::StateCode::Done);
    case fb::StateCommandBody::ReportCrashes:
      return ReportCrashes(*command.body_as_ReportCrashes());
    case fb::StateCommandBody::ClearSuspect:
      return ClearSuspect(*command.body_as_ClearSuspect());
    case fb::StateCommandBody::NONE:
      break;
  }
  return Result(fb::StateCode::BadCommand);
}

fb::StateResultT RingStateMachine::Impl::PutConfiguration(
    const fb::PutConfiguration& command) {
  if (command.version() <= version_) {
    return Result(fb::StateCode::Outdated);
  }
  version_ = command.version();
  document_ =
      std::make_shared<const std::string>(StringFrom(command.document()));
  if (observer_ != nullptr) {
    observer_->OnConfiguration(version_, document_);
  }
  return Result(fb::StateCode::Done);
}

fb::StateResultT RingStateMachine::Impl::Register(
    const fb::RegisterUpstream& command) {
  const std::string instance = StringFrom(command.instance());
  Registration& registration = registrations_[instance];
  if (command.born_ms() < registration.value.born_ms) {
    return Result(fb::StateCode::Done);
  }
  command.UnPackTo(&registration.value);
  registration.recorded_ms = now_ms_;
  if (observer_ != nullptr) {
    observer_->OnUpstream(registration.value);
  }
  return Result(fb::StateCode::Done);
}

fb::StateResultT RingStateMachine::Impl::Depart(
    const fb::DepartUpstream& command) {
  UpstreamDeparture departure{StringFrom(command.instance()), command.born_ms(),
                              command.gone()};
  const auto [it, added] =
      departures_.try_emplace(DepartureKey(departure), Departure{departure});
  it->second.recorded_ms = now_ms_;
  const bool changed = added || (departure.gone && !it->second.value.gone);
  it->second.value.gone = it->second.value.gone || departure.gone;
  const auto registered = registrations_.find(departure.instance);
  if (departure.gone && registered != registrations_.end() &&
      registered->second.value.born_ms <= departure.born_ms) {
    registrations_.erase(registered);
  }
  if (changed && observer_ != nullptr) {
    observer_->OnDeparture(it->second.value);
  }
  return Result(fb::StateCode::Done);
}

// Each open turn of a program reserves the maximum of tokens that it may
// generate. Otherwise entries that begin turns at the same time could exceed
// the budget together.
fb::StateResultT RingStateMachine::Impl::Begin(const fb::BeginTurn& command) {
  const std::string turn = StringFrom(command.turn());
  const std::string previous = StringFrom(command.previous());
  if (turn.empty()) {
    return Result(fb::StateCode::BadCommand);
  }
  if (command.overload_ms() > 0) {
    fb::StateResultT refused = Result(fb::StateCode::Overloaded);
    refused.overload_ms = command.overload_ms();
    if (command.refusal() != nullptr) {
      refused.refusal = std::make_unique<fb::StartRefusal>(*command.refusal());
    }
    return refused;
  }
  if (command.limited_ms() > 0) {
    fb::StateResultT limited = Result(fb::StateCode::Limited);
    limited.placed_wait_ms = command.limited_ms();
    return limited;
  }
  const auto previous_turn = turns_.find(previous);
  if (!previous.empty() &&
      (previous_turn == turns_.end() ||
       !MayContinue(*previous_turn->second.turn, command))) {
    load_balancer_.Cancel(turn);
    return Result(fb::StateCode::UnknownTurn);
  }
  const std::string program_id = StringFrom(command.program());
  if (!program_id.empty() && command.budget_tokens() >= 0) {
    Program& program = programs_[program_id];
    program.touched_ms = now_ms_;
    if (!program.open.contains(turn) && !turns_.contains(turn)) {
      const int64_t available = command.budget_tokens() - program.spent_tokens -
                                program.reserved_tokens();
      // A turn without a token limit reserves the whole remainder.
      const int64_t reservation =
          command.max_tokens() > 0 ? command.max_tokens() : available;
      if (available <= 0 || reservation > available) {
        load_balancer_.Cancel(turn);
        return Result(fb::StateCode::BudgetSpent);
      }
      program.open[turn] = reservation;
    }
  }
  fb::StateResultT result = Result(fb::StateCode::Done);
  if (!previous.empty()) {
    result.last_upstream = previous_turn->second.turn->upstream;
    CollectChain(previous, TextOf(command.known()), result);
  }
  if (!program_id.empty() &&
      (command.starts_program() || load_balancer_.is_running(program_id))) {
    load_balancer_.ObserveTurn(program_id, command.program_wait_ms(), now_ms_);
  }
  // Members count what the leader has granted, because each may lead next.
  SetLimits(command, now_ms_);
  if (const auto placement =
          PlaceTurn(command, now_ms_, {.priority = command.priority()})) {
    result.placed = placement->upstream;
    result.placed_load = static_cast<uint16_t>(placement->load);
    result.placed_wait_ms = static_cast<int32_t>(placement->wait_ms);
    result.placed_limit =
        load_balancer_.limit(placement->upstream).value_or(-1);
  }
  return result;
}

bool RingStateMachine::Impl::MayContinue(const KeptTurn& turn,
                                         const fb::BeginTurn& command) {
  return !turn.knows_teams || !command.knows_teams() ||
         turn.team == TextOf(command.team());
}

std::vector<UpstreamOffer> RingStateMachine::Impl::OffersOf(
    const fb::BeginTurn& command) const {
  constexpr int64_t kCostUnitUs = 100;  // Of the costs in the command.
  const auto previous = turns_.find(TextOf(command.previous()));
  const uint32_t last_upstream =
      previous == turns_.end() ? 0
                               : UpstreamKey(previous->second.turn->upstream);
  std::vector<UpstreamOffer> offers;
  for (const fb::PlacementOffer* offer : *command.offers()) {
    int64_t cost = offer->cost();
    if (offer->upstream() == last_upstream) {
      cost = std::max<int64_t>(cost - command.cached_cost(), 0);
    }
    offers.push_back({offer->upstream(), cost * kCostUnitUs, offer->slots(),
                      offer->cached() || offer->upstream() == last_upstream});
  }
  return offers;
}

std::optional<LoadBalancer::Placement> RingStateMachine::Impl::PlaceTurn(
    const fb::BeginTurn& command,
    int64_t now_ms,
    const TurnUrgency& urgency) {
  if (command.offers() == nullptr) {
    return std::nullopt;
  }
  return load_balancer_.Place(StringFrom(command.turn()), OffersOf(command),
                              now_ms, now_ms + command.wait_ms(), urgency,
                              StringFrom(command.team()));
}

// A repeated command of a turn that has been placed is not decided again.
TurnAdmission RingStateMachine::Impl::Admit(const fb::BeginTurn& command,
                                            int64_t now_ms,
                                            fb::StartRefusal& refusal) {
  if (!command.starts_program() ||
      load_balancer_.is_running(StringFrom(command.program())) ||
      load_balancer_.is_open(StringFrom(command.turn()))) {
    return {};
  }
  const TurnAdmissionInput start{.starts_program = true,
                                 .priority = command.priority(),
                                 .program_wait_ms = command.program_wait_ms(),
                                 .random = Checksum(TextOf(command.turn()))};
  const auto offers = OffersOf(command);
  const std::string team = StringFrom(command.team());
  const TurnAdmissionInput input =
      load_balancer_.AdmissionInput(offers, team, start, now_ms);
  const TurnAdmission admission =
      load_balancer_.Admit(offers, team, start, now_ms);
  refusal = {admission.wait_ms,     input.limit_wait_ms,
             input.open_turns,      input.slots,
             input.turn_us,         input.turns_per_program,
             input.team_open_turns, input.team_share};
  return admission;
}

void RingStateMachine::Impl::SetLimits(const fb::BeginTurn& command,
                                       int64_t now_ms) {
  if (command.limits() == nullptr) {
    return;
  }
  for (const fb::NamedLimit* row : *command.limits()) {
    load_balancer_.SetLimit(
        {row->upstream(),
         row->limit() < 0 ? std::nullopt : std::optional(row->limit()),
         now_ms - row->age_ms()},
        now_ms);
  }
}

// The load is known best to the leader, and only it replies to entries. The log
// therefore carries the choice alone: the offers are most of the command, and a
// copy of it goes to each member, also across the link between regions.
std::string RingStateMachine::Impl::Prepare(std::string command,
                                            int64_t time_ms) {
  const FlatBufferView<fb::StateCommand> view(command);
  const fb::BeginTurn* begin = view ? view->body_as_BeginTurn() : nullptr;
  if (begin == nullptr || begin->offers() == nullptr ||
      begin->offers()->size() == 0) {
    return command;
  }
  SetLimits(*begin, time_ms);
  fb::StartRefusal refusal;
  if (const TurnAdmission admission = Admit(*begin, time_ms, refusal);
      !admission.admitted) {
    fb::BeginTurnT refused;
    begin->UnPackTo(&refused);
    refused.offers.clear();
    refused.limits.clear();
    refused.overload_ms = static_cast<int32_t>(
        std::clamp<int64_t>(admission.retry_after_ms, 1, INT32_MAX));
    // Replicas of a build without overload_ms refuse the turn as well.
    refused.limited_ms = refused.overload_ms;
    refused.refusal = std::make_unique<fb::StartRefusal>(refusal);
    return state_codec::EncodeBegin(refused);
  }
  const auto placement = PlaceTurn(
      *begin, time_ms, {std::max(begin->patience_ms(), 0), begin->priority()});
  fb::BeginTurnT prepared;
  begin->UnPackTo(&prepared);
  prepared.limits.clear();
  if (const auto known = placement
                             ? load_balancer_.observed(placement->upstream)
                             : std::nullopt) {
    const int64_t age_ms =
        std::clamp<int64_t>(time_ms - known->at_ms, 0, kMaxLimitAgeMs);
    prepared.limits.emplace_back(known->upstream, static_cast<uint32_t>(age_ms),
                                 known->limit.value_or(-1));
  }
  // The log carries a refusal as well, so that all replicas apply the same.
  prepared.limited_ms = placement && placement->upstream == 0
                            ? static_cast<int32_t>(std::clamp<int64_t>(
                                  placement->wait_ms, 1, INT32_MAX))
                            : 0;
  std::erase_if(prepared.offers, [&](const fb::PlacementOffer& offer) {
    return !placement || offer.upstream() != placement->upstream;
  });
  return state_codec::EncodeBegin(prepared);
}

void RingStateMachine::Impl::CollectChain(const std::string& turn,
                                          std::string_view known,
                                          fb::StateResultT& result) const {
  for (auto it = turns_.find(turn); it != turns_.end() && it->first != known;
       it = turns_.find(it->second.turn->previous)) {
    auto text = std::make_unique<fb::TurnTextT>();
    text->turn = it->second.turn->id;
    text->previous = it->second.turn->previous;
    text->text = it->second.turn->text;
    result.chain.push_back(std::move(text));
  }
  std::reverse(result.chain.begin(), result.chain.end());
}

fb::StateResultT RingStateMachine::Impl::Finish(const fb::FinishTurn& command) {
  load_balancer_.End(StringFrom(command.turn()),
                     UpstreamKey(TextOf(command.upstream())),
                     init_.upstream_speed ? command.event_us() : 0, now_ms_,
                     command.upstream_us());
  const auto found = programs_.find(StringFrom(command.program()));
  if (found != programs_.end()) {
    Program& program = found->second;
    program.touched_ms = now_ms_;
    if (program.open.erase(StringFrom(command.turn())) > 0) {
      program.spent_tokens += command.tokens();
    }
  }
  if (command.complete()) {
    StoreTurn(command);
  }
  return Result(fb::StateCode::Done);
}

void RingStateMachine::Impl::StoreTurn(const fb::FinishTurn& command) {
  const int64_t expires_ms =
      now_ms_ + command.retention_ms() + init_.clock_slack_ms;
  if (turns_.contains(TextOf(command.turn()))) {
    return;
  }
  auto turn = std::make_shared<KeptTurn>();
  turn->id = StringFrom(command.turn());
  turn->previous = StringFrom(command.previous());
  turn->text = StringFrom(command.text());
  turn->upstream = StringFrom(command.upstream());
  turn->team = StringFrom(command.team());
  turn->knows_teams = command.knows_teams();
  turns_.emplace(turn->id, RetainedTurn{turn});
  ExtendRetention(turn->id, expires_ms);
}

void RingStateMachine::Impl::ExtendRetention(const std::string& turn,
                                             int64_t expires_ms) {
  for (auto it = turns_.find(turn);
       it != turns_.end() && it->second.expires_ms < expires_ms;
       it = turns_.find(it->second.turn->previous)) {
    it->second.expires_ms = expires_ms;
  }
}

fb::StateResultT RingStateMachine::Impl::Retire(
    const fb::OrderRetire& command) {
  retired_.insert(StringFrom(command.node()));
  if (observer_ != nullptr) {
    observer_->OnRetire(retired_);
  }
  return Result(fb::StateCode::Done);
}

fb::StateResultT RingStateMachine::Impl::ReportCrashes(
    const fb::ReportCrashes& command) {
  if (command.crashes() != nullptr) {
    for (const fb::ReportCrash* row : *command.crashes()) {
      suspects_.Report(ToCrash(*row, now_ms_));
    }
  }
  NotifySuspects();
  return Result(fb::StateCode::Done);
}

fb::StateResultT RingStateMachine::Impl::ClearSuspect(
    const fb::ClearSuspect& command) {
  suspects_.Clear(command.digest());
  NotifySuspects();
  return Result(fb::StateCode::Done);
}

void RingStateMachine::Impl::NotifySuspects() {
  std::vector<SuspectedRequest> list = suspects_.List();
  if (list == notified_suspects_) {
    return;
  }
  notified_suspects_ = std::move(list);
  ++suspects_version_;
  if (observer_ != nullptr) {
    observer_->OnSuspects(suspects_version_, notified_suspects_);
  }
}

void RingStateMachine::Impl::Expire() {
  load_balancer_.Expire(now_ms_);
  suspects_.Expire(now_ms_);
  NotifySuspects();
  std::erase_if(turns_, [this](const auto& item) {
    return item.second.expires_ms < now_ms_;
  });
  std::erase_if(programs_, [this](const auto& item) {
    return item.second.touched_ms + init_.program_retention_ms < now_ms_;
  });
  for (auto& [instance, registration] : registrations_) {
    if (registration.recorded_ms == 0) {
      registration.recorded_ms = now_ms_;
    }
  }
  std::erase_if(registrations_, [this](const auto& item) {
    return item.second.recorded_ms + init_.registration_retention_ms < now_ms_;
  });
  for (auto& [key, departure] : departures_) {
    // 0 after loading a snapshot, which does not hold the time.
    if (departure.recorded_ms == 0) {
      departure.recorded_ms = now_ms_;
    }
  }
  std::erase_if(departures_, [this](const auto& item) {
    return item.second.recorded_ms + init_.departure_retention_ms < now_ms_;
  });
}

std::string RingStateMachine::Impl::Query(std::string_view query) const {
  const FlatBufferView<fb::StateQuery> view(query);
  if (!view) {
    return EncodeResult(Result(fb::StateCode::BadCommand));
  }
  fb::StateResultT result = Result(fb::StateCode::Done);
  result.retired.assign(retired_.begin(), retired_.end());
  if (view->configuration()) {
    result.document = *document_;
  }
  return EncodeResult(result);
}

void RingStateMachine::Impl::NotifyAll() const {
  if (observer_ == nullptr) {
    return;
  }
  if (version_ > 0) {
    observer_->OnConfiguration(version_, document_);
  }
  for (const auto& [instance, registration] : registrations_) {
    observer_->OnUpstream(registration.value);
  }
  for (const auto& [key, departure] : departures_) {
    observer_->OnDeparture(departure.value);
  }
  observer_->OnRetire(retired_);
  observer_->OnSuspects(suspects_version_, notified_suspects_);
}

RingStateMachine::RingStateMachine(const Init& init, StateObserverI* observer)
    : impl_(std::make_unique<Impl>(init, observer)) {}
RingStateMachine::~RingStateMachine() = default;

std::string RingStateMachine::Prepare(std::string command, int64_t time_ms) {
  return impl_->Prepare(std::move(command), time_ms);
}

std::string RingStateMachine::Apply(uint64_t /*index*/,
                                    int64_t time_ms,
                                    std::string_view command) {
  return impl_->Apply(time_ms, command);
}

std::string RingStateMachine::Query(std::string_view query) const {
  return impl_->Query(query);
}

std::string RingStateMachine::Save() const {
  const auto image = impl_->BeginSave();
  std::string saved;
  while (image->Append(SIZE_MAX, saved)) {
  }
  return saved;
}

std::unique_ptr<StateImageI> RingStateMachine::BeginSave() const {
  return impl_->BeginSave();
}

Status RingStateMachine::Load(std::string_view snapshot) {
  const auto loader = impl_->BeginLoad();
  const Status status = loader->Append(snapshot);
  return status ? loader->Finish() : status;
}

std::unique_ptr<StateLoaderI> RingStateMachine::BeginLoad() {
  return impl_->BeginLoad();
}

std::string RingStateMachine::ExpireCommand() const {
  return state_codec::EncodeExpire();
}

}  // namespace ring
