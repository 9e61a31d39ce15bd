#pragma once

#include <string>
#include <utility>
#include <vector>

#include "persimmonring/entry.h"

namespace ring::entry {

/// Puts the pieces of a model's answer together over cuts, resumes and
/// restarted attempts, and releases text to the caller. The last piece is held
/// back until the outcome is committed. What was released never changes: an
/// attempt with different text is refused. Used by one attempt worker.
class TextAssembler {
 public:
  /// @param released text that the caller has already
  TextAssembler(AnswerStream& answer, std::string released);

  /// Starts a new attempt, whose text begins at the first token.
  void Restart();
  /// Takes a piece. A piece that starts at an earlier token replaces what
  /// followed it.
  /// @returns false if the text differs from what was released, or a piece is
  ///          missing
  bool Add(int64_t token_offset, const std::string& text);
  /// @returns token from which a cut stream can be resumed; drops the last
  ///          piece, whose token count is not known
  int64_t PrepareResume();
  /// Releases everything, after the outcome is committed.
  void ReleaseAll();
  /// @returns false if not all released text was produced again
  bool covers_released();

  /// @returns true once text differed from what was released
  bool mismatch() const { return mismatch_; }
  const std::string& text() const { return text_; }
  int64_t next_token() const { return next_token_; }
  bool empty() const { return pieces_.empty(); }

 private:
  bool Consistent();
  void Release(size_t end);

  AnswerStream& answer_;
  std::string released_;
  std::string text_;
  std::vector<std::pair<int64_t, size_t>> pieces_;  ///< Token, byte position.
  bool mismatch_ = false;
  int64_t next_token_ = 0;  ///< Smallest offset the next piece can have.
};

}  // namespace ring::entry
