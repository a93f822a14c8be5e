#include "ctl.h"

#include <algorithm>
#include <array>
#include <span>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "ctl_arguments.h"
#include "ctl_help.h"
#include "ctl_history.h"
#include "ctl_jobs.h"
#include "ctl_operate.h"
#include "ctl_table.h"
#include "settings.h"

namespace egretswitch::internal {
namespace {

using RunCommand = int (*)(std::span<const std::string> operands,
                           const CtlArguments& arguments,
                           CtlWorld& world);

struct Command {
  std::string_view first_word;
  std::string_view second_word;  // empty when the command is one word
  size_t operand_count;
  std::string_view usage;
  RunCommand run;
};

int RunSettingsCheck(std::span<const std::string> operands,
                     const CtlArguments& arguments,
                     CtlWorld& world) {
  const auto settings = LoadSettings(operands[0]);
  if (!settings.ok()) {
    return ReportFailure(settings.status(), world);
  }
  const bool is_entry = std::holds_alternative<EntrySettings>(settings->role());
  if (arguments.json) {
    world.out << "{\"ok\":true}\n";
  } else {
    world.out << operands[0] << ": right, for "
              << (is_entry ? "entry " : "agent ") << settings->common().name
              << "\n";
  }
  return kCtlOk;
}

constexpr std::array<Command, 13> kCommands = {{
    {"submit", "", 1, "submit FILE", &RunSubmit},
    {"cancel", "", 2, "cancel TEAM ID", &RunCancel},
    {"table", "get", 0, "table get", &RunTableGet},
    {"table", "diff", 1, "table diff FILE", &RunTableDiff},
    {"table", "put", 1, "table put FILE", &RunTablePut},
    {"table", "delete", 2, "table delete KIND VERSION", &RunTableDelete},
    {"table", "history", 0, "table history --log IP:PORT", &RunTableHistory},
    {"status", "", 0, "status", &RunStatus},
    {"counters", "", 0, "counters", &RunCounters},
    {"evacuations", "", 0, "evacuations", &RunEvacuations},
    {"drain", "", 0, "drain", &RunDrain},
    {"entry", "ended", 1, "entry ended NAME", &RunEntryEnded},
    {"settings", "check", 1, "settings check FILE", &RunSettingsCheck},
}};

size_t WordCount(const Command& command) {
  return command.second_word.empty() ? 1 : 2;
}

const Command* FindCommand(const std::vector<std::string>& words) {
  for (const Command& command : kCommands) {
    const size_t count = WordCount(command);
    if (words.size() >= count && words[0] == command.first_word &&
        (count == 1 || words[1] == command.second_word)) {
      return &command;
    }
  }
  return nullptr;
}

int ReportUsage(const std::string& text, CtlWorld& world) {
  return ReportFailure(
      absl::InvalidArgumentError(text + " (see egretswitchctl --help)"), world);
}

// An option that a command would ignore is more likely a slip.
std::string MisplacedOption(const Command& command,
                            const CtlArguments& arguments) {
  if (arguments.wait && command.run != &RunSubmit) {
    return "--wait: allowed with submit only";
  }
  if (!arguments.output.empty() && command.run != &RunTableGet) {
    return "--output: allowed with table get only";
  }
  if (!arguments.log.empty() && command.run != &RunTableHistory) {
    return "--log: allowed with table history only";
  }
  return "";
}

std::string CommandNames() {
  return absl::StrJoin(kCommands, ", ",
                       [](std::string* out, const Command& command) {
                         out->append(command.first_word);
                         if (!command.second_word.empty()) {
                           out->append(" ").append(command.second_word);
                         }
                       });
}

}  // namespace

int RunCtl(std::span<const std::string_view> args, CtlWorld& world) {
  const auto arguments = ParseCtlArguments(args);
  if (!arguments.ok()) {
    return ReportUsage(std::string(arguments.status().message()), world);
  }
  if (arguments->help) {
    world.out << CtlHelp();
    return kCtlOk;
  }
  if (arguments->version) {
    world.out << "egretswitchctl " << EGRETSWITCH_VERSION << "\n";
    return kCtlOk;
  }
  const Command* command = FindCommand(arguments->words);
  if (command == nullptr) {
    return ReportUsage(
        absl::StrCat("command: found \"", absl::StrJoin(arguments->words, " "),
                     "\", allowed ", CommandNames()),
        world);
  }
  const auto operands =
      std::span(arguments->words).subspan(WordCount(*command));
  if (operands.size() != command->operand_count) {
    return ReportUsage(
        absl::StrCat("found ", operands.size(), " operands, allowed ",
                     std::string(command->usage)),
        world);
  }
  const std::string misplaced = MisplacedOption(*command, *arguments);
  if (!misplaced.empty()) {
    return ReportUsage(misplaced, world);
  }
  return command->run(operands, *arguments, world);
}

}  // namespace egretswitch::internal
