#include <fstream>
#include <iostream>
#include <memory>

#include "commands.h"
#include "output.h"
#include "persimmonring/explain.h"

namespace ring {
namespace {

using nlohmann::json;

struct ExplainOptions {
  std::string request;
  std::vector<std::string> files;
};

json LinesJson(const std::vector<LogLine>& lines) {
  json rows = json::array();
  for (const LogLine& line : lines) {
    rows.push_back(line.text);
  }
  return rows;
}

void PrintLines(const char* title, const std::vector<LogLine>& lines) {
  std::cout << title << "\n";
  for (const LogLine& line : lines) {
    std::cout << "  " << line.text << "\n";
  }
}

int RunExplain(const ExplainOptions& options, bool as_json) {
  Explainer explainer(options.request);
  for (const std::string& name : options.files) {
    std::ifstream file(name);
    if (!file) {
      return Fail(kExitUsage, "cannot read " + name);
    }
    explainer.Read(file);
  }
  const auto explanation = explainer.Explain();
  if (!explanation) {
    return Fail(kExitFailure, explanation.refusal().message);
  }
  if (as_json) {
    PrintJson({{"request", LinesJson(explanation->request)},
               {"beliefs", LinesJson(explanation->context)},
               {"cause", explanation->cause},
               {"next_step", explanation->next_step}});
    return kExitOk;
  }
  PrintLines("The request:", explanation->request);
  PrintLines("What the entry and the keepers knew at that time:",
             explanation->context);
  std::cout << "Cause: " << explanation->cause << "\n";
  if (!explanation->next_step.empty()) {
    std::cout << "Next: " << explanation->next_step << "\n";
  }
  return kExitOk;
}

}  // namespace

void AddExplainCommand(CLI::App& app, GlobalOptions& options, int& exit_code) {
  auto command_options = std::make_shared<ExplainOptions>();
  CLI::App* command = app.add_subcommand(
      "explain", "Explain from collected logs how a request ended");
  command->add_option("request", command_options->request, "Id of the request")
      ->required();
  command
      ->add_option("files", command_options->files,
                   "Logs of entries and keepers")
      ->required();
  command->callback([command_options, &options, &exit_code] {
    exit_code = RunExplain(*command_options, options.json);
  });
}

}  // namespace ring
