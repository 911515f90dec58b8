#pragma once

#include "foundation/imodulesetup.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace turmericsill::operators {

/// Module that serves the operator API of schema/operator.json on a thread of its own.
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
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace turmericsill::operators
