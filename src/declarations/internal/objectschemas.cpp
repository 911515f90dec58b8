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
    constexpr double maximumDrainMs = 7.0 * 24 * 3600 * 1000;
    constexpr double maximumRunTimeS = 365.0 * 24 * 3600;
    constexpr double maximumWindowHours = 8784;
    constexpr std::size_t kindCount = std::variant_size_v<Object>;

    FieldSchema name(const std::string& field) { return { field, FieldType::Name, true, 0, 0, {} }; }

    FieldSchema integer(const std::string& field, bool required, double minimum, double maximum)
    {
        return { field, FieldType::Integer, required, minimum, maximum, {} };
    }

    FieldSchema number(const std::string& field, bool required, double minimum, double maximum)
    {
        return { field, FieldType::Number, required, minimum, maximum, {} };
    }

    FieldSchema boolean(const std::string& field) { return { field, FieldType::Boolean, false, 0, 0, {} }; }

    ObjectSchema serviceSchema()
    {
        return { name("name"), name("pool"), number("availability", true, 0.5, 0.999999),
            integer("window_hours", false, 1, maximumWindowHours), integer("slots_per_instance", true, 1, 4096),
            integer("connections_per_instance", true, 1, 65535), integer("timeout_ms", false, 1, maximumTimeoutMs),
            integer("importance", false, 0, 9) };
    }

    ObjectSchema poolSchema()
    {
        return { name("name"), boolean("spare"), integer("minimum_healthy", true, 0, maximumCount),
            integer("maximum_out", false, 1, maximumCount), integer("drain_limit_ms", false, 0, maximumDrainMs) };
    }

    ObjectSchema instanceSchema()
    {
        return { name("name"), FieldSchema { "address", FieldType::Address, true, 0, 0, {} }, name("rack"),
            name("pool"), integer("cores", true, 1, 4096), integer("memory_gb", true, 1, 65536),
            integer("accelerators", false, 0, 64) };
    }

    ObjectSchema jobSchema()
    {
        return { name("name"), name("pool"), name("team"), integer("tasks", false, 1, maximumCount),
            number("cores", true, 0.01, 4096), number("memory_gb", true, 0.01, 65536),
            integer("accelerators", false, 0, 64), integer("run_time_s", false, 0, maximumRunTimeS),
            boolean("urgent") };
    }

    std::array<ObjectSchema, kindCount> buildSchemas()
    {
        return { ObjectSchema { name("name"), number("roll_out_weight", false, 0, 100),
                     number("moves_weight", false, 0, 100), number("buffer_weight", false, 0, 100) },
            ObjectSchema { name("name") }, ObjectSchema { name("name"), name("region") },
            ObjectSchema { name("name"), name("data_centre") }, serviceSchema(), poolSchema(), instanceSchema(),
            jobSchema(),
            ObjectSchema { name("name"), integer("cores", true, 0, maximumCount),
                integer("memory_gb", true, 0, maximumCount), integer("accelerators", false, 0, maximumCount) } };
    }

    std::array<std::vector<Reference>, kindCount> buildReferences()
    {
        std::array<std::vector<Reference>, kindCount> references;
        auto at
            = [&](ObjectKind kind) -> std::vector<Reference>& { return references[static_cast<std::size_t>(kind)]; };
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

const std::vector<Reference>& referencesOf(ObjectKind kind)
{
    static const auto references = buildReferences();
    return references.at(static_cast<std::size_t>(kind));
}

std::optional<ObjectKind> kindOfList(const std::string& name)
{
    for (std::size_t index = 0; index < kindCount; ++index) {
        if (listName(static_cast<ObjectKind>(index)) == name)
            return static_cast<ObjectKind>(index);
    }
    return std::nullopt;
}

} // namespace turmericsill::declarations
