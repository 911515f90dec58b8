#pragma once

#include "jobs/types/stepspec.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <vector>

namespace turmericsill::jobs {

/// The steps of a job. Equal steps that are near each other share their memory: a caller may ask for thousands.
class StepList {
public:
    class Iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = StepSpec;
        using difference_type = std::ptrdiff_t;
        using pointer = const StepSpec*;
        using reference = const StepSpec&;

        Iterator(const StepList& list, std::size_t index)
            : list_(&list)
            , index_(index)
        {
        }

        reference operator*() const { return (*list_)[index_]; }
        pointer operator->() const { return &(*list_)[index_]; }
        bool operator==(const Iterator& other) const { return index_ == other.index_; }
        bool operator!=(const Iterator& other) const { return index_ != other.index_; }
        Iterator& operator++()
        {
            ++index_;
            return *this;
        }

    private:
        const StepList* list_;
        std::size_t index_;
    };

    StepList() = default;
    StepList(std::initializer_list<StepSpec> steps);
    StepList(std::vector<StepSpec> steps);

    std::size_t size() const { return indexes_.size(); }
    bool empty() const { return indexes_.empty(); }
    const StepSpec& operator[](std::size_t index) const { return distinct_[indexes_[index]]; }
    const StepSpec& front() const { return (*this)[0]; }
    const StepSpec& back() const { return (*this)[size() - 1]; }
    Iterator begin() const { return { *this, 0 }; }
    Iterator end() const { return { *this, size() }; }

    void add(StepSpec step);

    /// For changing a step, which shares its memory with no other one afterwards.
    StepSpec& edit(std::size_t index);

    /// Estimate of the memory that the list takes, in bytes.
    std::size_t memory() const;

private:
    std::vector<StepSpec> distinct_;
    std::vector<std::uint32_t> indexes_; ///< Of each step in `distinct_`.
};

} // namespace turmericsill::jobs
