#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::callers {

/// The callers' duty. Provides Feed<membership::CallerReport> and Feed<DispatcherCounters>.
class CallersModule : public foundation::IModuleSetup {
public:
    explicit CallersModule(const settings::DaemonSettings& settings);
    ~CallersModule() override;

    std::string name() const override { return "callers"; }
    void registerExports(foundation::ModuleRegistry& registry) override;
    void resolveImports(foundation::ModuleRegistry& registry) override;
    foundation::Result<void> start() override;
    void stop() override;

    /// Accepts no more connections and waits until every request has its reply, at most for `grace`.
    void drain(foundation::milliseconds grace);

private:
    class Duty;

    std::unique_ptr<Duty> duty_;
};

} // namespace turmericsill::callers
