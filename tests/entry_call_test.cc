#include <gtest/gtest.h>

#include "fakes/entry_fixture.h"

namespace ring {
namespace {

class EntryCall : public ::testing::Test {
 protected:
  FakeBackends ring_;
  TestEntry entry_{ring_, TestEntry::DefaultInit("entry-1")};
  Caller caller_{entry_};
};

// Guards against a broken path from the HTTP request to the committed answer.
TEST_F(EntryCall, ProgramWithStreamedModelCallAndServiceCall_RunsAndEnds) {
  const std::string program = caller_.Open();
  const auto model = caller_.Ask(program, 1, "hello", true);
  EXPECT_EQ(model.status, 200) << model.body;
  EXPECT_TRUE(model.complete()) << model.body;
  const std::string prompt = ring_.upstreams.attempts().at(0).messages;
  EXPECT_EQ(model.streamed_text(), ring_.upstreams.AnswerTo(prompt));

  const auto service = caller_.CallService(program, 2, "stock/check", "{}");
  EXPECT_EQ(service.status, 200) << service.body;
  EXPECT_EQ(service.body, "{\"echo\":{}}");

  const auto history = caller_.Get("/v1/programs/" + program + "/history");
  EXPECT_EQ(history.json().at("messages").size(), 2u) << history.body;
  EXPECT_EQ(caller_.Delete("/v1/programs/" + program).status, 200);
  EXPECT_EQ(caller_.Ask(program, 3, "more").reason(), "program_ended");
}

}  // namespace
}  // namespace ring
