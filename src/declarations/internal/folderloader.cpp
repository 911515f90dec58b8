#include "declarations/folderloader.h"

#include "declarations/internal/objectschemas.h"
#include "declarations/objectcodec.h"

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>
#include <utility>

namespace turmericsill::declarations {

namespace {

    using jsonsource::Document;
    using jsonsource::Faults;

    /// Position of an object in its file, for faults that are found after all files are read.
    struct ObjectLocation {
        const Document* document;
        std::string pointer;
    };

    /// Collects objects from all documents and validates references and limits across them.
    class DeclarationCollector {
    public:
        explicit DeclarationCollector(Faults& faults)
            : faults_(faults)
        {
        }

        void add(const Document& document)
        {
            if (!document.value().is_object()) {
                document.addFault(faults_, "", "expected an object of lists");
                return;
            }
            for (const auto& list : document.value().items())
                addList(document, list.key(), list.value());
        }

        DeclarationSet finish()
        {
            for (const auto& [key, location] : locations_)
                checkReferences(key, location);
            checkUniqueAddresses();
            checkMinimumHealthy();
            checkJobsFit();
            return std::move(set_);
        }

    private:
        void addList(const Document& document, const std::string& list, const nlohmann::json& value)
        {
            const std::string pointer = "/" + list;
            auto kind = findKindByListName(list);
            if (!kind) {
                document.addFault(faults_, pointer,
                    "unknown list; known are firms, regions, data_centres, racks, services, pools, instances, jobs, "
                    "teams");
                return;
            }
            if (!value.is_array()) {
                document.addFault(faults_, pointer, "expected a list of objects");
                return;
            }
            for (std::size_t index = 0; index < value.size(); ++index)
                addObject(document, *kind, pointer + "/" + std::to_string(index), value[index]);
        }

        void addObject(
            const Document& document, ObjectKind kind, const std::string& pointer, const nlohmann::json& value)
        {
            const std::size_t faultsBefore = faults_.size();
            jsonsource::checkObject(document, pointer, schemaOf(kind), faults_);
            if (value.is_object() && value.contains("name") && value["name"].is_string())
                addName(document, kind, pointer, value["name"].get<std::string>());
            if (faults_.size() != faultsBefore)
                return;
            Object object = decode(kind, value);
            set_.insert_or_assign(ObjectKey { kind, nameOf(object) }, std::move(object));
        }

        void addName(const Document& document, ObjectKind kind, const std::string& pointer, const std::string& name)
        {
            auto [found, inserted]
                = locations_.emplace(ObjectKey { kind, name }, ObjectLocation { &document, pointer });
            if (inserted)
                return;
            const ObjectLocation& first = found->second;
            document.addFault(faults_, pointer + "/name",
                "\"" + name + "\" already stands at " + first.document->file() + ":"
                    + std::to_string(first.document->lineOf(first.pointer)));
        }

        void checkReferences(const ObjectKey& key, const ObjectLocation& location)
        {
            const auto& value = location.document->value().at(nlohmann::json::json_pointer(location.pointer));
            for (const auto& reference : referencesOf(key.kind)) {
                auto found = value.find(reference.field);
                if (found == value.end() || !found->is_string())
                    continue;
                if (locations_.count({ reference.target, found->get<std::string>() }) == 0)
                    addFault(key, reference.field,
                        "\"" + found->get<std::string>() + "\" is not declared in " + listName(reference.target));
            }
        }

        void checkUniqueAddresses()
        {
            std::map<std::string, std::string> owners;
            for (const auto& [key, object] : set_) {
                if (key.kind != ObjectKind::Instance)
                    continue;
                auto [found, inserted] = owners.emplace(std::get<Instance>(object).address, key.name);
                if (!inserted)
                    addFault(key, "address", "the address already belongs to instance \"" + found->second + "\"");
            }
        }

        void checkMinimumHealthy()
        {
            std::map<std::string, std::uint32_t> sizes;
            for (const auto& [key, object] : set_) {
                if (key.kind == ObjectKind::Instance)
                    ++sizes[std::get<Instance>(object).pool];
            }
            for (const auto& [key, object] : set_) {
                if (key.kind != ObjectKind::Pool || std::get<Pool>(object).minimumHealthy <= sizes[key.name])
                    continue;
                addFault(key, "minimum_healthy",
                    "expected at most the pool's " + std::to_string(sizes[key.name]) + " instances");
            }
        }

        // Rejects jobs whose tasks fit on no instance of their pool, because they would never be scheduled.
        void checkJobsFit()
        {
            for (const auto& [key, object] : set_) {
                if (key.kind == ObjectKind::Job)
                    checkJobFits(key, std::get<Job>(object));
            }
        }

        void checkJobFits(const ObjectKey& key, const Job& job)
        {
            for (const auto& [other, object] : set_) {
                if (other.kind != ObjectKind::Instance)
                    continue;
                const auto& instance = std::get<Instance>(object);
                if (instance.pool == job.pool && instance.cores >= job.cores && instance.memoryGb >= job.memoryGb
                    && instance.accelerators >= job.accelerators)
                    return;
            }
            addFault(key, "pool", "no instance of pool \"" + job.pool + "\" can hold one task of this job");
        }

        void addFault(const ObjectKey& key, const std::string& field, const std::string& expected)
        {
            const ObjectLocation& location = locations_.at(key);
            location.document->addFault(faults_, location.pointer + "/" + field, expected);
        }

        Faults& faults_;
        DeclarationSet set_;
        std::map<ObjectKey, ObjectLocation> locations_;
    };

    std::vector<std::filesystem::path> listFiles(const std::string& folder, Faults& faults)
    {
        std::vector<std::filesystem::path> files;
        std::error_code error;
        for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end;
             entry.increment(error)) {
            if (entry->path().extension() == ".json")
                files.push_back(entry->path());
        }
        if (error || files.empty())
            faults.push_back({ folder, 1, "", "a folder that holds at least one .json file" });
        std::sort(files.begin(), files.end());
        return files;
    }

} // namespace

std::optional<DeclarationSet> loadDocuments(const std::vector<Document>& documents, Faults& faults)
{
    const std::size_t faultsBefore = faults.size();
    DeclarationCollector declarationCollector(faults);
    for (const auto& document : documents)
        declarationCollector.add(document);
    DeclarationSet set = declarationCollector.finish();
    if (faults.size() != faultsBefore)
        return std::nullopt;
    return set;
}

std::optional<DeclarationSet> loadFolder(const std::string& folder, Faults& faults)
{
    const std::size_t faultsBefore = faults.size();
    std::vector<Document> documents;
    for (const auto& path : listFiles(folder, faults)) {
        auto text = jsonsource::readFile(path.string(), faults);
        if (!text)
            continue;
        auto document = Document::parse(path.string(), *text, faults);
        if (document)
            documents.push_back(std::move(*document));
    }
    auto set = loadDocuments(documents, faults);
    if (faults.size() != faultsBefore)
        return std::nullopt;
    return set;
}

} // namespace turmericsill::declarations
