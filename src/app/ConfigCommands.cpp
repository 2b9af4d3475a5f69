#include "app/ConfigCommands.h"

#include "app/DeclarationCheck.h"
#include "app/HttpConfigurationStore.h"
#include "app/JsonDiff.h"
#include "app/Settings.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>

namespace greengagestair {

/** An operator waits this long for a platform that is out or slow. */
static constexpr std::chrono::seconds kPlatformLimit(10);

/** Reads and checks a declaration before `function` uses its text. */
template <typename Function>
static ExitCode withDeclaration(const std::string &file, Function function)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<ExitCode> {
                BOOST_LEAF_AUTO(text, readFile(file));
                BOOST_LEAF_CHECK(checkDeclaration(text));
                return function(text);
            },
            [](const SettingsProblem &problem) {
                std::cerr << problem.file << ": expected " << problem.expected << "\n";
                return ExitCode::BadSettings;
            },
            [&](const DeclarationProblem &problem) {
                std::cerr << file << ": " << problem.path << ": expected " << problem.expected
                          << "\n";
                return ExitCode::BadSettings;
            },
            [&] {
                std::cerr << file << ": the declaration could not be read\n";
                return ExitCode::BadSettings;
            });
}

static ExitCode reportUnreachable()
{
    std::cerr << "the platform cannot be reached; nothing was written\n";
    return ExitCode::PlatformUnreachable;
}

ExitCode runConfigShow(const ConfigShowCommand &command)
{
    HttpConfigurationStore store(command.platform, kPlatformLimit);
    const auto document = store.read();
    if (!document)
        return reportUnreachable();
    if (document->revision.value == 0) {
        std::cerr << "the platform holds no configuration\n";
        return ExitCode::Failed;
    }
    std::cerr << "revision " << document->revision.value << "\n";
    std::cout << document->content << "\n";
    return ExitCode::Success;
}

ExitCode runConfigDiff(const ConfigDiffCommand &command)
{
    return withDeclaration(command.declarationFile, [&](const std::string &declaration) {
        HttpConfigurationStore store(command.platform, kPlatformLimit);
        const auto document = store.read();
        if (!document)
            return reportUnreachable();
        for (const std::string &line : diffConfigurations(document->content, declaration))
            std::cout << line << "\n";
        return ExitCode::Success;
    });
}

static ExitCode reportChange(const ChangeReport &report)
{
    switch (report.result) {
    case ChangeResult::Accepted:
        std::cout << "accepted as revision " << report.revision.value << "\n";
        return ExitCode::Success;
    case ChangeResult::AcceptedBefore:
        std::cout << "accepted earlier; in the platform now is the later change "
                  << report.otherChangeId << " (revision " << report.revision.value << ")\n";
        return ExitCode::Success;
    case ChangeResult::IdentifierReused:
        std::cerr << "the change identifier " << report.otherChangeId
                  << " belongs to another content in the platform; nothing was overwritten\n";
        return ExitCode::BadSettings;
    case ChangeResult::LostRace:
        std::cerr << "lost the race against the change " << report.otherChangeId << " (revision "
                  << report.revision.value << "); nothing was overwritten\n";
        return ExitCode::LostRace;
    case ChangeResult::Unreachable:
        return reportUnreachable();
    case ChangeResult::Unknown:
        break;
    }
    std::cerr << "outcome unknown: the change may still take effect; run the same command again\n";
    return ExitCode::PlatformUnreachable;
}

ExitCode runConfigApply(const ConfigApplyCommand &command)
{
    return withDeclaration(command.declarationFile, [&](const std::string &declaration) {
        HttpConfigurationStore store(command.platform, kPlatformLimit);
        return reportChange(applyConfiguration(declaration, store));
    });
}

} // namespace greengagestair
