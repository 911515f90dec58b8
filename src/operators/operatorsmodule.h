#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::operators {

/// The operators' duty: serves the calls of schema/operator.json.
class OperatorsModule : public foundation::IModuleSetup {
public:
    explicit OperatorsModule(const settings::DaemonSettings& settings);
    ~OperatorsModule() override;

    std::string name() const override { return "operators"; }
    void registerExports(foundation::ModuleRegistry& registry) override;
    void resolveImports(foundation::ModuleRegistry& registry) override;
    foundation::Result<void> start() override;
    void stop() override;

private:
    class Duty;

    std::unique_ptr<Duty> duty_;
};

} // namespace turmericsill::operators
