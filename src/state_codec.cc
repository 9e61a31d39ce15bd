#include "core_flatbuffer_p.h"
#include "persimmonring/state.h"

namespace ring::state_codec {
namespace {

template <typename T>
std::string EncodeCommand(T body) {
  fb::StateCommandT command;
  command.body.Set(std::move(body));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateStateCommand(builder, &command));
  return BufferToString(builder);
}

}  // namespace

std::string EncodePutConfiguration(uint64_t version,
                                   const std::string& document) {
  fb::PutConfigurationT put;
  put.version = version;
  put.document = document;
  return EncodeCommand(std::move(put));
}

std::string EncodeDeparture(const UpstreamDeparture& departure) {
  fb::DepartUpstreamT depart;
  depart.instance = departure.instance;
  depart.born_ms = departure.born_ms;
  depart.gone = departure.gone;
  return EncodeCommand(std::move(depart));
}

std::string EncodeRegister(const fb::RegisterUpstreamT& upstream) {
  return EncodeCommand(upstream);
}

std::string EncodeBegin(const fb::BeginTurnT& begin) {
  return EncodeCommand(begin);
}

std::string EncodeFinish(const fb::FinishTurnT& finish) {
  return EncodeCommand(finish);
}

std::string EncodeCrashes(const fb::ReportCrashesT& crashes) {
  return EncodeCommand(crashes);
}

std::string EncodeClearSuspect(uint64_t digest) {
  fb::ClearSuspectT clear;
  clear.digest = digest;
  return EncodeCommand(clear);
}

std::string EncodeRetire(const std::string& retired_keeper) {
  fb::OrderRetireT order;
  order.node = retired_keeper;
  return EncodeCommand(std::move(order));
}

std::string EncodeExpire() {
  return EncodeCommand(fb::ExpireTurnsT());
}

std::string EncodeQuery(bool configuration) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateStateQuery(builder, configuration));
  return BufferToString(builder);
}

Outcome<fb::StateResultT> DecodeResult(std::string_view bytes) {
  const FlatBufferView<fb::StateResult> view(bytes);
  if (!view) {
    return Refusal{Reason::kCorruptData, RunState::kUnknown,
                   "the result of the state group cannot be decoded"};
  }
  fb::StateResultT result;
  view->UnPackTo(&result);
  return result;
}

}  // namespace ring::state_codec
