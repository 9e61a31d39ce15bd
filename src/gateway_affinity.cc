#include "gateway_affinity_p.h"

namespace ring {
namespace {

// Parts at the start of a prompt that are not remembered: the first part is an
// instruction that many programs share, so every engine caches it soon.
constexpr size_t kSharedParts = 1;

std::string SessionKey(const CallerRequest& request) {
  return "session/" + request.session;
}

}  // namespace

const std::string* AffinityCache::FindKey(const std::string& key) const {
  for (const auto* generation : {&newer_, &older_}) {
    const auto found = generation->find(key);
    if (found != generation->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

CachedPrompt AffinityCache::Find(const CallerRequest& request) const {
  if (!request.session.empty()) {
    if (const std::string* instance = FindKey(SessionKey(request))) {
      return {*instance, request.prompt_tokens};
    }
  }
  int64_t tokens = 0;
  for (const PromptPart& part : request.prompt) {
    tokens += part.tokens;
  }
  for (size_t i = request.prompt.size(); i > kSharedParts; --i) {
    const PromptPart& part = request.prompt[i - 1];
    if (const std::string* instance = FindKey(part.id)) {
      return {*instance, tokens};
    }
    tokens -= part.tokens;
  }
  return {};
}

void AffinityCache::Record(const CallerRequest& request,
                           const std::string& instance) {
  if (newer_.size() + request.prompt.size() >= max_entries_) {
    older_ = std::exchange(newer_, {});
  }
  if (!request.session.empty()) {
    newer_[SessionKey(request)] = instance;
  }
  for (size_t i = kSharedParts; i < request.prompt.size(); ++i) {
    newer_[request.prompt[i].id] = instance;
  }
}

}  // namespace ring
