#pragma once

#include "policy/slots.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace acaciastile::fleet
{

/// Dense number of a worker in its `worker_table`. A table never reuses one.
using worker_handle = impl::worker_slot;

/// A set of workers as a bit for each handle.
class worker_set
{
public:
    [[nodiscard]] bool contains(worker_handle worker) const noexcept
    {
        return word_of(worker) < words_.size() &&
               (words_[word_of(worker)] & bit_of(worker)) != 0;
    }

    void insert(worker_handle worker)
    {
        if (word_of(worker) >= words_.size())
        {
            words_.resize(word_of(worker) + 1);
        }
        words_[word_of(worker)] |= bit_of(worker);
    }

    void erase(worker_handle worker) noexcept
    {
        if (word_of(worker) < words_.size())
        {
            words_[word_of(worker)] &= ~bit_of(worker);
        }
    }

    [[nodiscard]] bool empty() const noexcept
    {
        for (const std::uint64_t word : words_)
        {
            if (word != 0)
            {
                return false;
            }
        }
        return true;
    }

private:
    static constexpr std::size_t bits = 64;

    [[nodiscard]] static std::size_t word_of(worker_handle worker) noexcept
    {
        return worker / bits;
    }
    [[nodiscard]] static std::uint64_t bit_of(worker_handle worker) noexcept
    {
        return std::uint64_t{1} << (worker % bits);
    }

    std::vector<std::uint64_t> words_;
};

} // namespace acaciastile::fleet
