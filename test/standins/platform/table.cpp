// Commits and reads of the table stand-in.

#include "table.hpp"

#include <set>

namespace coltsfootrack::standins
{
namespace
{

constexpr std::size_t max_writes = 500;
constexpr std::size_t max_history = 200000;

bool is_commit(const nlohmann::json& body)
{
    if (!body.is_object() || !body.contains("conditions") ||
        !body.contains("writes") || !body["conditions"].is_array() ||
        !body["writes"].is_array() || body["writes"].size() > max_writes)
    {
        return false;
    }
    std::set<std::string> keys;
    for (const auto& condition : body["conditions"])
    {
        if (!condition.is_object() || !condition.contains("key") ||
            !condition["key"].is_string() || !condition.contains("version") ||
            !condition["version"].is_number_unsigned())
        {
            return false;
        }
    }
    for (const auto& write : body["writes"])
    {
        if (!write.is_object() || !write.contains("key") ||
            !write["key"].is_string() || !write.contains("value") ||
            !keys.insert(write["key"].get<std::string>()).second)
        {
            return false;
        }
    }
    return true;
}

} // namespace

table::result table::commit(const nlohmann::json& body)
{
    if (!is_commit(body))
    {
        return {400, {{"error", "invalid_request"}, {"detail", "commit"}}};
    }
    std::set<std::string> failed;
    for (const auto& condition : body["conditions"])
    {
        const auto key = condition["key"].get<std::string>();
        const auto found = rows_.find(key);
        const std::uint64_t actual =
            found == rows_.end() ? 0 : found->second.version;
        if (actual != condition["version"].get<std::uint64_t>())
        {
            failed.insert(key);
        }
    }
    if (!failed.empty())
    {
        return {409, {{"committed", false}, {"failed", failed}}};
    }
    ++sequence_;
    for (const auto& write : body["writes"])
    {
        const auto key = write["key"].get<std::string>();
        if (write["value"].is_null())
        {
            rows_.erase(key);
        }
        else
        {
            rows_[key] = {sequence_, write["value"]};
        }
    }
    if (recording_ && history_.size() < max_history)
    {
        history_.push_back({{"sequence", sequence_},
                            {"conditions", body["conditions"]},
                            {"writes", body["writes"]}});
    }
    return {200, {{"committed", true}, {"sequence", sequence_}}};
}

table::result table::read(const nlohmann::json& body) const
{
    std::map<std::string, const stored_row*> found;
    if (!body.is_object())
    {
        return {400, {{"error", "invalid_request"}, {"detail", "read"}}};
    }
    for (const auto& key : body.value("keys", nlohmann::json::array()))
    {
        const auto entry = rows_.find(key.get<std::string>());
        if (entry != rows_.end())
        {
            found[entry->first] = &entry->second;
        }
    }
    for (const auto& prefix : body.value("prefixes", nlohmann::json::array()))
    {
        const auto text = prefix.get<std::string>();
        for (auto entry = rows_.lower_bound(text);
             entry != rows_.end() &&
             entry->first.compare(0, text.size(), text) == 0;
             ++entry)
        {
            found[entry->first] = &entry->second;
        }
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [key, row] : found)
    {
        rows.push_back(row_json(key, *row));
    }
    return {200, {{"sequence", sequence_}, {"rows", std::move(rows)}}};
}

void table::record(bool on)
{
    recording_ = on;
    history_ = nlohmann::json::array();
}

nlohmann::json table::history() const
{
    return history_;
}

nlohmann::json table::row_json(const std::string& key, const stored_row& row)
{
    return {{"key", key}, {"version", row.version}, {"value", row.value}};
}

} // namespace coltsfootrack::standins
