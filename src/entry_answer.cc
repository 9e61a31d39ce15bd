#include <algorithm>
#include <chrono>

#include "persimmonring/entry.h"

namespace ring {

void AnswerStream::Append(std::string_view text) {
  {
    std::lock_guard lock(mutex_);
    if (final_ || text.empty()) {
      return;
    }
    text_.append(text);
  }
  Notify();
}

bool AnswerStream::Finish(FinalAnswer final) {
  {
    std::lock_guard lock(mutex_);
    if (final_) {
      return false;
    }
    final_ = std::move(final);
  }
  Notify();
  return true;
}

AnswerStream::Piece AnswerStream::Read(size_t offset,
                                       int64_t timeout_ms) const {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                    [&] { return final_ || text_.size() > offset; });
  Piece piece;
  piece.text = text_.substr(std::min(offset, text_.size()));
  piece.final = final_;
  return piece;
}

std::string AnswerStream::text() const {
  std::lock_guard lock(mutex_);
  return text_;
}

bool AnswerStream::finished() const {
  std::lock_guard lock(mutex_);
  return final_.has_value();
}

void AnswerStream::AddReader() {
  std::lock_guard lock(mutex_);
  ++readers_;
}

void AnswerStream::RemoveReader() {
  std::lock_guard lock(mutex_);
  --readers_;
}

int AnswerStream::readers() const {
  std::lock_guard lock(mutex_);
  return readers_;
}

void AnswerStream::Observe(std::function<void()> callback) {
  std::lock_guard lock(mutex_);
  observers_.push_back(std::move(callback));
}

void AnswerStream::Notify() {
  changed_.notify_all();
  std::vector<std::function<void()>> observers;
  {
    std::lock_guard lock(mutex_);
    observers = observers_;
  }
  for (const auto& observer : observers) {
    observer();
  }
}

}  // namespace ring
