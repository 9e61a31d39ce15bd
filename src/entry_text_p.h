#pragma once

#include <string>
#include <utility>
#include <vector>

#include "persimmonring/entry.h"

namespace ring::entry {

/// Assembles the text of a model's answer from its pieces, across truncated
/// streams, resumptions and new attempts, and releases it to the caller. Holds
/// back the last piece until the outcome is committed. Released text never
/// changes: an attempt that produces different text fails. Not thread-safe.
class TextAssembler {
 public:
  /// @param answer receives the released text
  /// @param released text that the caller already has
  TextAssembler(AnswerStream& answer, std::string released);

  /// Starts a new attempt, whose text starts at the first token.
  void Restart();
  /// Adds a piece. A piece at an earlier token replaces all text from there.
  /// @param token_offset index of the first token of the piece
  /// @returns false if the text differs from the released text, or a piece is
  ///          missing
  bool Add(int64_t token_offset, const std::string& text);
  /// Drops the last piece, whose token count is not known.
  /// @returns index of the token from which a truncated stream can be resumed
  int64_t PrepareResume();
  /// Releases all text. Must only be called after the outcome is committed.
  void ReleaseAll();
  /// @returns true if this attempt has produced all released text again; else
  ///          mismatch() returns true from now on
  bool covers_released();

  /// @returns true once the text has differed from the released text
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
  std::vector<std::pair<int64_t, size_t>> pieces_;  ///< Token index, byte
                                                    ///< position.
  bool mismatch_ = false;
  int64_t next_token_ = 0;  ///< Smallest token index of the next new piece.
};

}  // namespace ring::entry
