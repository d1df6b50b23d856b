#ifndef COLTSFOOTRACK_TEST_COORDINATION_MODEL_MUTATION_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_COORDINATION_MODEL_MUTATION_HPP_INCLUDED

#include <coordination/model_table.hpp>

#include <cstdint>
#include <functional>

namespace coltsfootrack::coordination
{

// A conditional write in a daemon's commit stream.
struct model_mutation
{
    // Whether its conditions hold.
    std::function<bool(const model_table&)> holds;
    // Writes the rows; table.sequence is already that of this commit.
    std::function<void(model_table&)> write;
    std::function<void(std::uint64_t version)> applied;
    std::function<void()> rejected;
};

} // namespace coltsfootrack::coordination

#endif
