#include "declarations/internal/objectschemas.h"

#include "declarations/objectcodec.h"

#include <array>

namespace turmericsill::declarations {

namespace {

    using jsonsource::FieldSchema;
    using jsonsource::FieldType;
    using jsonsource::ObjectSchema;

    constexpr double maximumCount = 1000000;
    constexpr double maximumTimeoutMs = 600000;
    constexpr double maximumDrainLimitMs = 7.0 * 24 * 3600 * 1000;
    constexpr double maximumRunTimeS = 365.0 * 24 * 3600;
    constexpr double maximumWindowHours = 8784;
    constexpr std::size_t kindCount = std::variant_size_v<Object>;

    FieldSchema nameField(const std::string& field) { return { field, FieldType::Name, true, 0, 0, {} }; }

    FieldSchema integerField(const std::string& field, bool required, double minimum, double maximum)
    {
        return { field, FieldType::Integer, required, minimum, maximum, {} };
    }

    FieldSchema numberField(const std::string& field, bool required, double minimum, double maximum)
    {
        return { field, FieldType::Number, required, minimum, maximum, {} };
    }

    FieldSchema booleanField(const std::string& field) { return { field, FieldType::Boolean, false, 0, 0, {} }; }

    ObjectSchema serviceSchema()
    {
        return { nameField("name"), nameField("pool"), numberField("availability", true, 0.5, 0.999999),
            integerField("window_hours", false, 1, maximumWindowHours),
            integerField("slots_per_instance", true, 1, 4096), integerField("connections_per_instance", true, 1, 65535),
            integerField("timeout_ms", false, 1, maximumTimeoutMs), integerField("importance", false, 0, 9) };
    }

    ObjectSchema poolSchema()
    {
        return { nameField("name"), booleanField("spare"), integerField("minimum_healthy", true, 0, maximumCount),
            integerField("maximum_out", false, 1, maximumCount),
            integerField("drain_limit_ms", false, 0, maximumDrainLimitMs) };
    }

    ObjectSchema instanceSchema()
    {
        return { nameField("name"), FieldSchema { "address", FieldType::Address, true, 0, 0, {} }, nameField("rack"),
            nameField("pool"), integerField("cores", true, 1, 4096), integerField("memory_gb", true, 1, 65536),
            integerField("accelerators", false, 0, 64) };
    }

    ObjectSchema jobSchema()
    {
        return { nameField("name"), nameField("pool"), nameField("team"), integerField("tasks", false, 1, maximumCount),
            numberField("cores", true, 0.01, 4096), numberField("memory_gb", true, 0.01, 65536),
            integerField("accelerators", false, 0, 64), integerField("run_time_s", false, 0, maximumRunTimeS),
            booleanField("urgent") };
    }

    std::array<ObjectSchema, kindCount> buildSchemas()
    {
        return { ObjectSchema { nameField("name"), numberField("roll_out_weight", false, 0, 100),
                     numberField("moves_weight", false, 0, 100), numberField("buffer_weight", false, 0, 100) },
            ObjectSchema { nameField("name") }, ObjectSchema { nameField("name"), nameField("region") },
            ObjectSchema { nameField("name"), nameField("data_centre") }, serviceSchema(), poolSchema(),
            instanceSchema(), jobSchema(),
            ObjectSchema { nameField("name"), integerField("cores", true, 0, maximumCount),
                integerField("memory_gb", true, 0, maximumCount),
                integerField("accelerators", false, 0, maximumCount) } };
    }

    std::array<std::vector<ObjectReference>, kindCount> buildReferences()
    {
        std::array<std::vector<ObjectReference>, kindCount> references;
        auto at = [&](ObjectKind kind) -> std::vector<ObjectReference>& {
            return references[static_cast<std::size_t>(kind)];
        };
        at(ObjectKind::DataCentre) = { { "region", ObjectKind::Region } };
        at(ObjectKind::Rack) = { { "data_centre", ObjectKind::DataCentre } };
        at(ObjectKind::Service) = { { "pool", ObjectKind::Pool } };
        at(ObjectKind::Instance) = { { "rack", ObjectKind::Rack }, { "pool", ObjectKind::Pool } };
        at(ObjectKind::Job) = { { "pool", ObjectKind::Pool }, { "team", ObjectKind::Team } };
        return references;
    }

} // namespace

const jsonsource::ObjectSchema& schemaOf(ObjectKind kind)
{
    static const auto schemas = buildSchemas();
    return schemas.at(static_cast<std::size_t>(kind));
}

const std::vector<ObjectReference>& referencesOf(ObjectKind kind)
{
    static const auto references = buildReferences();
    return references.at(static_cast<std::size_t>(kind));
}

std::optional<ObjectKind> findKindByListName(const std::string& name)
{
    for (std::size_t index = 0; index < kindCount; ++index) {
        if (listName(static_cast<ObjectKind>(index)) == name)
            return static_cast<ObjectKind>(index);
    }
    return std::nullopt;
}

} // namespace turmericsill::declarations
