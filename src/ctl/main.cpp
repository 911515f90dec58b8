// turmericctl: the command-line tool for operators.

#include "ctl/commandrunner.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>
#include <array>
#include <cstdlib>
#include <iostream>
#include <random>

ABSL_FLAG(
    std::vector<std::string>, entry, {}, "operator addresses IP:PORT of entries, tried in order, separated by commas");
ABSL_FLAG(bool, json, false, "print the answer as JSON");
ABSL_FLAG(std::string, author, "", "author of the change; default: the login name");
ABSL_FLAG(std::string, reason, "", "reason for the change, kept in the history");
ABSL_FLAG(std::string, change_id, "", "id of the change; set it to repeat a command whose outcome is unknown");
ABSL_FLAG(int64_t, version, -1, "version that the change is based on; default: the current version");
ABSL_FLAG(int32_t, limit, 20, "maximum number of changes that history prints");
ABSL_FLAG(bool, wait, false, "drain: wait until the instance serves again");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(15), "time limit for each call and for the outcome of a change");

namespace {

using turmericsill::ctl::CommandLine;
using turmericsill::ctl::ExitUsage;

struct Verb {
    const char* name;
    std::size_t argumentCount;
    const char* help;
};

constexpr std::array<Verb, 9> verbs { {
    { "check", 1, "check FOLDER        check declarations without any server" },
    { "plan", 1, "plan FOLDER         show what applying the declarations would change" },
    { "apply", 1, "apply FOLDER        publish the declarations" },
    { "status", 0, "status              pools, entries and planned work" },
    { "history", 0, "history             the latest changes and what became of them" },
    { "change", 1, "change ID           what became of one change" },
    { "declarations", 0, "declarations        what is declared now, as JSON" },
    { "drain", 1, "drain INSTANCE      take an instance out, reboot it and bring it back" },
    { "undrain", 1, "undrain INSTANCE    return a draining instance to service" },
} };

std::string usage()
{
    std::string text = "turmericctl --entry IP:PORT VERB ...\n\n";
    for (const auto& verb : verbs)
        text += std::string("  ") + verb.help + "\n";
    return text + "\nExit codes: 0 done, 1 refused, 2 usage, 3 no entry reachable, 4 outcome unknown\n";
}

std::string makeChangeId()
{
    std::random_device random;
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%08x%08x", random(), random());
    return text.data();
}

std::string loginName()
{
    const char* name = std::getenv("USER");
    return name ? name : "unknown";
}

int failWithUsage(const std::string& reason)
{
    std::cerr << "turmericctl: " << reason << "\n\n" << usage();
    return ExitUsage;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace turmericsill;
    absl::SetProgramUsageMessage(usage());
    std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
    if (positional.size() < 2)
        return failWithUsage("a verb is missing");
    CommandLine command;
    command.verb = positional[1];
    command.arguments.assign(positional.begin() + 2, positional.end());
    const auto* verb = std::find_if(
        verbs.begin(), verbs.end(), [&](const Verb& candidate) { return command.verb == candidate.name; });
    if (verb == verbs.end())
        return failWithUsage("unknown verb \"" + command.verb + "\"");
    if (command.arguments.size() != verb->argumentCount)
        return failWithUsage(command.verb + " takes " + std::to_string(verb->argumentCount) + " argument(s)");
    for (const auto& text : absl::GetFlag(FLAGS_entry)) {
        auto address = foundation::parseAddress(text);
        if (!address)
            return failWithUsage("--entry: " + address.error().message());
        command.entries.push_back(*address);
    }
    if (command.entries.empty() && command.verb != "check")
        return failWithUsage("--entry IP:PORT is required");
    command.json = absl::GetFlag(FLAGS_json);
    command.author = absl::GetFlag(FLAGS_author).empty() ? loginName() : absl::GetFlag(FLAGS_author);
    command.reason = absl::GetFlag(FLAGS_reason);
    command.changeId = absl::GetFlag(FLAGS_change_id).empty() ? makeChangeId() : absl::GetFlag(FLAGS_change_id);
    command.baseVersion = absl::GetFlag(FLAGS_version);
    command.limit = absl::GetFlag(FLAGS_limit);
    command.wait = absl::GetFlag(FLAGS_wait);
    command.timeout = foundation::milliseconds(absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_timeout)));
    return ctl::CommandRunner(command, std::cout, std::cerr).run();
}
