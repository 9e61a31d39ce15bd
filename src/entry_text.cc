#include "entry_text_p.h"

#include <algorithm>

namespace ring::entry {

TextAssembler::TextAssembler(AnswerStream& answer, std::string released)
    : answer_(answer), released_(std::move(released)) {}

void TextAssembler::Restart() {
  text_.clear();
  pieces_.clear();
  next_token_ = 0;
}

bool TextAssembler::Add(int64_t token_offset, const std::string& text) {
  if (token_offset < next_token_) {
    const auto same = std::find_if(
        pieces_.begin(), pieces_.end(),
        [&](const auto& piece) { return piece.first >= token_offset; });
    if (same == pieces_.end() || same->first != token_offset) {
      mismatch_ = true;
      return false;
    }
    text_.resize(same->second);
    pieces_.erase(same, pieces_.end());
  } else if (pieces_.empty() && token_offset != next_token_) {
    mismatch_ = true;
    return false;
  }
  const size_t start = text_.size();
  pieces_.emplace_back(token_offset, start);
  text_ += text;
  next_token_ = token_offset + 1;
  if (!Consistent()) {
    return false;
  }
  Release(start);
  return true;
}

int64_t TextAssembler::PrepareResume() {
  if (pieces_.empty()) {
    return 0;
  }
  const auto [token, position] = pieces_.back();
  text_.resize(position);
  pieces_.pop_back();
  next_token_ = token;
  return token;
}

void TextAssembler::ReleaseAll() {
  Release(text_.size());
}

bool TextAssembler::covers_released() {
  mismatch_ = mismatch_ || text_.size() < released_.size();
  return Consistent();
}

bool TextAssembler::Consistent() {
  const size_t common = std::min(text_.size(), released_.size());
  mismatch_ = mismatch_ || text_.compare(0, common, released_, 0, common) != 0;
  return !mismatch_;
}

void TextAssembler::Release(size_t end) {
  if (end <= released_.size()) {
    return;
  }
  const std::string next =
      text_.substr(released_.size(), end - released_.size());
  released_ += next;
  answer_.Append(next);
}

}  // namespace ring::entry
