#include "runtime_settings_p.h"

namespace ring {
namespace {

// Scans well-formed JSON with comments and records the line of each key.
class KeyScanner {
 public:
  explicit KeyScanner(const std::string& text) : text_(text) {}

  KeyPositions Scan() {
    SkipSpace();
    ScanValue("");
    return std::move(positions_);
  }

 private:
  char Peek() const { return offset_ < text_.size() ? text_[offset_] : '\0'; }

  void Advance() {
    if (Peek() == '\n') {
      ++line_;
    }
    ++offset_;
  }

  void SkipSpace() {
    while (offset_ < text_.size()) {
      if (text_.compare(offset_, 2, "//") == 0) {
        SkipUntil("\n");
      } else if (text_.compare(offset_, 2, "/*") == 0) {
        SkipUntil("*/");
      } else if (Peek() == ' ' || Peek() == '\t' || Peek() == '\r' ||
                 Peek() == '\n') {
        Advance();
      } else {
        return;
      }
    }
  }

  void SkipUntil(const std::string& end) {
    while (offset_ < text_.size() &&
           text_.compare(offset_, end.size(), end) != 0) {
      Advance();
    }
    for (size_t i = 0; i < end.size() && offset_ < text_.size(); ++i) {
      Advance();
    }
  }

  std::string ScanString() {
    std::string value;
    Advance();  // Opening quote.
    while (offset_ < text_.size() && Peek() != '"') {
      if (Peek() == '\\') {
        value.push_back(Peek());
        Advance();
      }
      value.push_back(Peek());
      Advance();
    }
    Advance();  // Closing quote.
    return value;
  }

  void ScanValue(const std::string& path) {
    switch (Peek()) {
      case '{':
        ScanObject(path);
        return;
      case '[':
        ScanList(path);
        return;
      case '"':
        ScanString();
        return;
      default:
        SkipScalar();
    }
  }

  void SkipScalar() {
    while (offset_ < text_.size() && Peek() != ',' && Peek() != '}' &&
           Peek() != ']' && Peek() != '/' && Peek() > ' ') {
      Advance();
    }
  }

  void ScanObject(const std::string& path) {
    Advance();
    SkipSpace();
    while (offset_ < text_.size() && Peek() != '}') {
      const int line = line_;
      const std::string key = ScanString();
      const std::string child = path.empty() ? key : path + "." + key;
      if (!positions_.line_of_path.emplace(child, line).second) {
        positions_.duplicates.push_back({child, line});
      }
      SkipSpace();
      Advance();  // Colon.
      SkipSpace();
      ScanValue(child);
      SkipSeparator();
    }
    Advance();
  }

  void ScanList(const std::string& path) {
    Advance();
    SkipSpace();
    for (int i = 0; offset_ < text_.size() && Peek() != ']'; ++i) {
      const std::string child = path + "[" + std::to_string(i) + "]";
      positions_.line_of_path.emplace(child, line_);
      ScanValue(child);
      SkipSeparator();
    }
    Advance();
  }

  void SkipSeparator() {
    SkipSpace();
    if (Peek() == ',') {
      Advance();
      SkipSpace();
    }
  }

  const std::string& text_;
  size_t offset_ = 0;
  int line_ = 1;
  KeyPositions positions_;
};

}  // namespace

KeyPositions LocateKeys(const std::string& text) {
  return KeyScanner(text).Scan();
}

}  // namespace ring
